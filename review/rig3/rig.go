//go:build review

// Rig3 runs the scripts of the third review: it starts hosts as separate processes beside stand-ins of the platform's store and of
// the replicas, plays one case and checks one rule.
package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is the surroundings of one case.
type rig struct {
	trouble bool
	dir     string // temporary folder for settings and logs
	began   time.Time
	store   berylfake.MemoryStore
	hosts   []*host

	mu     sync.Mutex
	record *os.File
	block  int // second byte of the loopback addresses
	// readRate is how many bytes of a body replicas read a second; zero means all at once.
	readRate int
}

// host is one process of the system.
type host struct {
	r                      *rig
	name, ip, front, ready string
	file, log              string
	storeAddress           string
	link                   *storeHandler // this host's calls to the store
	process                *exec.Cmd
	ended                  chan struct{}
}

func newRig(folder string) (*rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "berylroad-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: record}
	// The operators' port of a host is fixed, so each run takes addresses of its own.
	r.block = 64 + os.Getpid()%128
	r.note("trouble: %v", r.trouble)
	return r, nil
}

// note writes a line to record.txt.
func (r *rig) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// finish ends all processes and returns the exit code.
func (r *rig) finish(broken bool, err error) int {
	for _, h := range r.hosts {
		h.kill()
	}
	defer os.RemoveAll(r.dir)
	defer r.record.Close()
	switch {
	case err != nil:
		for _, h := range r.hosts {
			data, _ := os.ReadFile(h.log)
			r.note("log of %s:\n%s", h.name, data[max(0, len(data)-3000):])
		}
		r.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		r.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		r.note("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}

// address returns the loopback address of the n-th machine.
func (r *rig) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.block, os.Getpid()>>7&0xff, n)
}

func freePort(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port, nil
}

// startStore serves the platform's store at an address of its own, for one host.
func (r *rig) startStore() (string, *storeHandler, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	handler := &storeHandler{backing: &r.store}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), handler, nil
}

// addHost writes the settings of a host and starts it.
func (r *rig) addHost(n int, zone string) (*host, error) {
	h := &host{r: r, name: fmt.Sprintf("front-%s-%d", zone, n), ip: r.address(n)}
	var ports [3]string
	for i := range ports {
		var err error
		if ports[i], err = freePort(h.ip); err != nil {
			return nil, err
		}
	}
	h.front, h.ready = h.ip+":"+ports[0], h.ip+":"+ports[1]
	var err error
	if h.storeAddress, h.link, err = r.startStore(); err != nil {
		return nil, err
	}
	h.file, h.log = filepath.Join(r.dir, h.name+".conf"), filepath.Join(r.dir, h.name+".log")
	settings := fmt.Sprintf(`nodeName=%s
role=entry
machineClass=front
serves=front
ipAddress=%s
zone=%s
region=r
zones.za=r
zones.zb=r
zones.zc=r
listen.front=%s
listen.ready=%s
internalPorts=%s,%s
bootstrap=true
countsTowardLoss=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.fileDescriptors=4200
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=virtual_ip
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,recover,batch,stream,engine,platform
tolerate.machines=1
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=8
bounds.configApplyMs=2000
bounds.recoveryS=12
bounds.finishS=18
bounds.statusS=120
bounds.cancelMs=3000
bounds.settleMs=1000
bounds.quotaOvershoot=0.1
platform.address=%s
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`, h.name, h.ip, zone, h.front, h.ready, ports[2], ports[2], h.storeAddress)
	if err := os.WriteFile(h.file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	return h, h.start()
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	program, err := filepath.Abs("target/berylroad")
	if err != nil {
		return err
	}
	h.process = exec.Command(program, "entry", "run")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLROAD_NODE_FILE=" + h.file}
	h.process.Stdout, h.process.Stderr = out, out
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.process.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	process, ended := h.process, h.ended
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	h.r.note("%s: started", h.name)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.r.note("%s: signal %v", h.name, s)
	_ = h.process.Process.Signal(s)
}

func (h *host) kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGCONT)
	_ = h.process.Process.Kill()
	<-h.ended
}

// waitReady waits until all hosts are ready.
func (r *rig) waitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range r.hosts {
		for {
			response, err := http.Get("http://" + h.ready + "/-/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second) // until the hosts have agreed on who owns what
	return nil
}

// item is one item of a batch job that a case sends.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

func newItem(id, path, prefix string, prompt, output int) item {
	return item{
		ID: id, Path: path, Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)), Tokens: prompt + output,
		Headers: map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,%d", prompt, output), "X-Prompt-Prefix": prefix},
	}
}

// call makes one call at a host, on a new connection.
func (r *rig) call(ctx context.Context, h *host, method, path, name string, header map[string]string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host, request.Close = name, true
	for k, v := range header {
		request.Header.Set(k, v)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

// submit sends a batch job until it is accepted, as clients do after a refusal.
func (r *rig) submit(h *host, host, path, id string, items []item) error {
	body, _ := json.Marshal(map[string]any{"items": items})
	for try := 0; try < 20; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		status, _, err := r.call(ctx, h, "POST", path, host, map[string]string{"X-Request-Id": id, "Content-Type": "application/json"}, body)
		cancel()
		r.note("client: job %s with %d items to %s: %d %v", id, len(items), h.name, status, err)
		if status == http.StatusAccepted {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// read reads the results of a job from a position on.
func (r *rig) read(h *host, host, id string, after int) (page, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var p page
	status, data, err := r.call(ctx, h, "GET", fmt.Sprintf("/-/lots/%s?after=%d", id, after), host, map[string]string{"X-Wait-Time": "1000"}, nil)
	if err != nil || status != http.StatusOK || json.Unmarshal(data, &p) != nil {
		return p, status
	}
	for i, x := range p.Results {
		r.note("client: job %s position %d: item %s %s, %d bytes", id, after+i, x.ID, x.State, len(x.Text))
	}
	return p, status
}

// write writes a key into the store, as the operator or a replica does.
func (r *rig) write(key string, value any) {
	data, _ := json.Marshal(value)
	r.store.Write(key, string(data))
}

// remove removes a key from the store.
func (r *rig) remove(key string) {
	r.store.Commit(context.Background(), berylstore.Txn{Deletes: []string{key}})
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig3 CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*rig) (bool, error){"11": turnedAway, "12": extraAnswer, "13": slowReplicas, "14": slowReaders, "15": crashes}
	run := cases[strings.TrimSpace(os.Args[1])]
	if run == nil {
		fmt.Println("no such case")
		os.Exit(exitNotRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	broken, err := run(r)
	os.Exit(r.finish(broken, err))
}

// writeBatchConfig writes a configuration with one batch route.
func (r *rig) writeBatchConfig(name string, attempts int) {
	r.write("op/config", map[string]any{
		"version": 1, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 8000},
		"services": []any{map[string]any{"name": "llm", "healthPath": "/health", "connectionLimit": 230, "engine": map[string]any{"slots": 8}}},
		"routes":   []any{batchRoute("lots", name, "/lots/", attempts)},
	})
}

func batchRoute(route, name, prefix string, attempts int) map[string]any {
	return map[string]any{
		"name": route, "host": name, "prefix": prefix, "service": "llm", "kind": "batch", "timeoutMs": 15000, "targetLatencyMs": 400, "gapTargetMs": 500,
		"priority": 2, "maxAttempts": attempts, "resumable": true, "completionTargetMs": 18000, "retentionS": 60, "maxCount": 2400000,
	}
}
