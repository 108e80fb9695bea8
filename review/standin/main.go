//go:build review

// Command standin runs one case of the review: it starts the system's own processes beside stand-ins for clients, replicas and the
// platform's store, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{file: file, began: time.Now()}
}

func (r *record) add(what, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-10s %s\n", time.Since(r.began).Seconds(), what, fmt.Sprintf(format, args...))
}

func must(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

func cannotRun(why string) {
	fmt.Fprintln(os.Stderr, "cannot run:", why)
	os.Exit(2)
}

// longest is how long a case may run.
const longest = 115 * time.Second

func main() {
	name := flag.String("case", "", "name of the case")
	recordFile := flag.String("record", "record.txt", "file to write what happened to")
	root := flag.String("root", "", "root of the repository")
	flag.Parse()
	rootPath, err := filepath.Abs(*root)
	must(err)
	if _, err := os.Stat(filepath.Join(rootPath, "target/berylroad")); err != nil {
		cannotRun("target/berylroad is missing: build it as the deploy file says")
	}
	run := cases[*name]
	if run == nil {
		cannotRun("no such case: " + *name)
	}
	rec := newRecord(*recordFile)
	f := newFleet(rootPath, rec)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		f.close()
		cannotRun("stopped before its end")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("begin", "case=%s trouble=%v", *name, trouble)
	broken, why := run(f, trouble)
	rec.add("verdict", "broken=%v: %s", broken, why)
	fmt.Printf("broken=%v: %s\n", broken, why)
	f.close()
	if broken {
		os.Exit(1)
	}
}

// cases are the cases of the review.
var cases = map[string]func(f *fleet, trouble bool) (bool, string){}
