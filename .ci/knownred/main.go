package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// event holds the fields of a `go test -json` line that this command uses.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// testResults collects the results of the test run.
type testResults struct {
	passed  int
	skipped int
	failed  []string                    // PACKAGE.TEST for a test; PACKAGE with a final dot for a whole package
	outputs map[string]*strings.Builder // output of each test or package that has not passed, under its name in the form used by failed
	// recent holds the last output lines of each package. go test attributes what an assertion prints directly to standard output
	// to whichever test printed last, so that the output of the failed test itself may lack it.
	recent map[string][]string
}

// recentLines is the number of lines of a package that are printed with a failure.
const recentLines = 60

func main() {
	known, err := readKnownFailures(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	packages := os.Args[2:]
	if len(packages) == 0 {
		packages = []string{"./..."}
	}
	t, runErr := run(packages)
	os.Exit(report(t, runErr, known, len(os.Args) == 2))
}

// readKnownFailures prints the list and returns the test names in its first column.
func readKnownFailures(path string) ([]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, _ := strings.Cut(line, "|")
		names = append(names, strings.TrimSpace(name))
		fmt.Println("KNOWN RED:", line)
	}
	return names, nil
}

// run runs the test command of the README on the packages and collects its events.
func run(packages []string) (*testResults, error) {
	cmd := exec.Command("go", append([]string{"test", "-json"}, packages...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	t := &testResults{outputs: map[string]*strings.Builder{}, recent: map[string][]string{}}
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		t.addEvent(lines.Bytes())
	}
	return t, cmd.Wait()
}

// addEvent records one line of `go test -json`, and prints the output of a failed test. Other lines are printed as they are.
func (t *testResults) addEvent(line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		fmt.Println(string(line))
		return
	}
	name := e.Package + "." + e.Test
	switch e.Action {
	case "output", "build-output":
		if t.outputs[name] == nil {
			t.outputs[name] = &strings.Builder{}
		}
		t.outputs[name].WriteString(e.Output)
		t.recordRecent(e.Package, e.Output)
	case "pass":
		if e.Test != "" {
			t.passed++
		} else {
			fmt.Println("ok  ", e.Package)
		}
		delete(t.outputs, name)
	case "skip":
		if e.Test != "" {
			t.skipped++
		}
	case "fail", "build-fail":
		t.failed = append(t.failed, name)
		if out := t.outputs[name]; out != nil {
			fmt.Printf("--- FAIL %s\n%s\n", name, out)
		}
		if e.Test != "" && !t.hasFailedSubtest(name) {
			fmt.Printf("--- the package's last lines\n%s\n", strings.Join(t.recent[e.Package], ""))
		}
	}
}

// recordRecent adds an output line to the package's recent ones, unless it only marks the start, pause or success of a test.
func (t *testResults) recordRecent(pkg, line string) {
	if strings.HasPrefix(line, "=== ") || strings.HasPrefix(strings.TrimSpace(line), "--- PASS") {
		return
	}
	lines := append(t.recent[pkg], line)
	t.recent[pkg] = lines[max(0, len(lines)-recentLines):]
}

// hasFailedSubtest reports whether a subtest of this test has failed; the package's last lines were printed with it.
func (t *testResults) hasFailedSubtest(name string) bool {
	return slices.ContainsFunc(t.failed, func(other string) bool { return other != name && isWithin(other, name) })
}

// report prints the summary and returns the exit code. A run of all packages in which no test passed counts as failed.
func report(t *testResults, runErr error, known []string, allPackages bool) int {
	if t == nil {
		fmt.Fprintln(os.Stderr, runErr)
		return 1
	}
	unknown := slices.DeleteFunc(slices.Clone(t.failed), func(name string) bool { return isKnown(name, t.failed, known) })
	for _, name := range unknown {
		fmt.Println("FAILED:", name)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", t.passed, len(t.failed), t.skipped)
	if len(unknown) > 0 || (runErr != nil && len(t.failed) == 0) {
		return 1
	}
	if allPackages && t.passed == 0 {
		return 1
	}
	return 0
}

// isKnown reports whether a failure is listed, or is the parent test or package of listed failures only.
func isKnown(name string, failed, known []string) bool {
	if slices.Contains(known, name) {
		return true
	}
	nested := 0
	for _, other := range failed {
		if other == name || !isWithin(other, name) {
			continue
		}
		if !slices.Contains(known, other) && !isKnown(other, failed, known) {
			return false
		}
		nested++
	}
	return nested > 0
}

// isWithin reports whether a test is a subtest of the other test or belongs to the package. The name of a package ends in a dot.
func isWithin(test, parent string) bool {
	if strings.HasSuffix(parent, ".") {
		return strings.HasPrefix(test, parent)
	}
	return strings.HasPrefix(test, parent+"/")
}
