package berylprocess

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/root"
	"berylroad.example/berylroad/internal/berylstandin"
)

// startTimeout is the maximum time until a process has started; it is long because the machine may be busy.
const startTimeout = 30 * time.Second

// TestMain makes this test binary act as the project's commands, so that the tests need no separately built binaries.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylroad": func() {
			ctx, stop := notifyContext()
			defer stop()
			f := &factory.Factory{IO: factory.System(), Context: ctx}
			os.Exit(factory.ReportError(f.IO.ErrOut, root.Run(f, os.Args[1:])))
		},
		"berylroad-standin": func() {
			streams := berylstandin.Streams{Out: os.Stdout, Err: os.Stderr}
			os.Exit(berylstandin.Main(context.Background(), os.Args[1:], streams))
		},
	})
}

// process is a process started by a test.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// start starts a command of the project and waits until accept returns true for a line of its output.
func start(t *testing.T, name string, accept func(line []byte) bool, arguments ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(arguments[0], arguments[1:]...), exited: make(chan struct{})}
	out, in, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout = in
	p.cmd.Stderr = in
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = in.Close()
	accepted := make(chan struct{})
	go p.read(t, out, accept, accepted)
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	select {
	case <-accepted:
	case <-p.exited:
		t.Fatalf("%s exited during startup: %v", name, p.err)
	case <-time.After(startTimeout):
		t.Fatalf("%s did not start", name)
	}
	return p
}

// read copies the output to the test's log, and closes accepted when accept has returned true for a line.
func (p *process) read(t *testing.T, out *os.File, accept func([]byte) bool, accepted chan<- struct{}) {
	defer out.Close()
	lines := bufio.NewScanner(out)
	waiting := true
	for lines.Scan() {
		if waiting && accept(lines.Bytes()) {
			waiting = false
			close(accepted)
		}
		p.log(t, lines.Text())
	}
}

// log writes a line to the test's log unless the test has ended, because logging would then panic.
func (p *process) log(t *testing.T, line string) {
	if t.Context().Err() == nil {
		t.Logf("%s: %s", p.name, line)
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s to %s: %v", s, p.name, err)
	}
}

// kill kills the process, even if it is frozen, and waits until it has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// servingMessage is the log line in which a host reports its addresses.
type servingMessage struct {
	Message         string `json:"msg"`
	CallerAddress   string `json:"caller-address"`
	PeerAddress     string `json:"peer-address"`
	OperatorAddress string `json:"operator-address"`
}

// decode decodes a log line and reports whether it is the one with the host's addresses.
func (s *servingMessage) decode(line []byte) bool {
	return json.Unmarshal(line, s) == nil && s.Message == "serving"
}
