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

// startTimeout bounds the start of one process on a busy machine.
const startTimeout = 30 * time.Second

// TestMain makes this test binary stand for the project's commands, so that the tests need no build of their own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylroad": func() {
			ctx, stop := notifyContext()
			defer stop()
			f := &factory.Factory{IO: factory.System(), Context: ctx}
			os.Exit(factory.Exit(f.IO.ErrOut, root.Run(f, os.Args[1:])))
		},
		"berylroad-standin": func() {
			streams := berylstandin.Streams{Out: os.Stdout, Err: os.Stderr}
			os.Exit(berylstandin.Main(context.Background(), os.Args[1:], streams))
		},
	})
}

// process is one started process.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// start runs a command of the project; firstLine is the first line of its output that accept takes.
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
		t.Fatalf("%s ended at its start: %v", name, p.err)
	case <-time.After(startTimeout):
		t.Fatalf("%s did not start", name)
	}
	return p
}

// read passes the output on to the test's log and tells when a line was accepted.
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

// log writes to the test's log unless the test has ended meanwhile.
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

// kill ends the process for good, also when it is frozen.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// servingMessage is the log line by which a host tells its addresses.
type servingMessage struct {
	Message         string `json:"msg"`
	CallerAddress   string `json:"caller-address"`
	PeerAddress     string `json:"peer-address"`
	OperatorAddress string `json:"operator-address"`
}

// decode takes the line by which a host tells its addresses.
func (s *servingMessage) decode(line []byte) bool {
	return json.Unmarshal(line, s) == nil && s.Message == "serving"
}
