//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is the system under test with its stand-ins.
type fleet struct {
	root, folder string
	record       *record
	store        *store
	hosts        []*host
	engines      []*engine
	subnet       string
	internalPort int

	mu       sync.Mutex
	children map[*os.Process]bool
}

// host is one process of the system.
type host struct {
	fleet                  *fleet
	name, role, zone, ip   string
	front, ready, settings string
	process                *exec.Cmd
	ended                  chan struct{}
	log                    string
	storeFront             *storeFront
	starts                 int
}

var zones = []string{"mu-north-a", "mu-north-b", "mu-north-c"}

func newFleet(root string, rec *record) *fleet {
	folder, err := os.MkdirTemp("", "berylroad-review-")
	must(err)
	f := &fleet{root: root, folder: folder, record: rec, store: newStore(), children: map[*os.Process]bool{}}
	f.chooseSubnet()
	return f
}

// chooseSubnet finds loopback addresses at which the fixed port of the metrics and the internal port are free.
func (f *fleet) chooseSubnet() {
	f.internalPort = freePort("127.0.0.1")
	for i := 0; i < 200; i++ {
		f.subnet = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+i)
		free := true
		for n := 1; n <= 9; n++ {
			for _, port := range []int{9464, f.internalPort} {
				l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", f.subnet, n, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return
		}
	}
	cannotRun("no loopback addresses are free")
}

func freePort(ip string) int {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// addHosts starts fronts on front machines and the disk role on storage machines, as the deploy file says.
func (f *fleet) addHosts(fronts, disks int) {
	for i := range fronts + disks {
		h := &host{fleet: f, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", f.subnet, i+1), role: "entry"}
		h.name = fmt.Sprintf("front-%s-%d", h.zone, i/len(zones)+1)
		if i >= fronts {
			h.role = "disk"
			h.name = fmt.Sprintf("storage-%s-%d", h.zone, (i-fronts)/len(zones)+1)
		}
		h.storeFront = f.store.listen("127.0.0.1")
		h.front = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
		h.ready = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
		h.log = filepath.Join(f.folder, h.name+".log")
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.writeSettings(true)
		h.start()
	}
	for _, h := range f.hosts[:fronts] {
		h.awaitReady(20 * time.Second)
	}
}

func (h *host) writeSettings(bootstrap bool) {
	class, serves, listen := "front", "front", fmt.Sprintf("listen.front=%s\nlisten.ready=%s\n", h.front, h.ready)
	cores, memory, files, link, disk, counts := "0.4", 284, 4200, "1000.0", "0", "false"
	if h.role == "disk" {
		class, serves, listen = "storage", "storage", ""
		cores, memory, files, link, disk, counts = "0.8", 334, 8200, "600.0", "560", "true"
		data := filepath.Join(h.fleet.folder, h.name+"-data")
		must(os.MkdirAll(data, 0o755))
		listen = "dataDirectory=" + data + "\n"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "nodeName=%s\nrole=%s\nmachineClass=%s\nserves=%s\nipAddress=%s\nzone=%s\nregion=mu-north\n", h.name, h.role, class, serves, h.ip, h.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "zones.%s=mu-north\n", z)
	}
	fmt.Fprintf(&b, "%sinternalPorts=%d,%d\nseeds=\nbootstrap=%v\ncountsTowardLoss=%s\n", listen, h.fleet.internalPort, h.fleet.internalPort, bootstrap, counts)
	fmt.Fprintf(&b, "limits.cpuShare=%s\nlimits.cores=1\nlimits.memoryMb=%d\nlimits.fileDescriptors=%d\nlimits.linkMbps=%s\nlimits.diskMb=%s\n", cores, memory, files, link, disk)
	b.WriteString("discovery=platform\nentry=virtual_ip\nheartbeatIntervalMs=1200\ncontracts=base,drain,config,cost,recover,batch,stream,engine,platform\n" +
		"tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackTimeoutMs=4000\n" +
		"bounds.catchUpS=5\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\n" +
		"bounds.outerBoundMs=5000\nbounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\nbounds.finishS=18\nbounds.statusS=120\nbounds.cancelMs=3000\n" +
		"bounds.settleMs=1000\nbounds.quotaOvershoot=0.1\n")
	fmt.Fprintf(&b, "platform.address=%s\nplatform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n", h.storeFront.address)
	h.settings = filepath.Join(h.fleet.folder, h.name+".conf")
	must(os.WriteFile(h.settings, []byte(b.String()), 0o644))
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() {
	h.starts++
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	must(err)
	cmd := exec.Command("target/berylroad", h.role, "run")
	cmd.Dir = h.fleet.root
	cmd.Path = filepath.Join(h.fleet.root, "target/berylroad")
	cmd.Env = []string{"BERYLROAD_NODE_FILE=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	h.process, h.ended = cmd, make(chan struct{})
	h.fleet.mu.Lock()
	h.fleet.children[cmd.Process] = true
	h.fleet.mu.Unlock()
	h.fleet.record.add("start", "%s", h.name)
	ended := h.ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		h.fleet.mu.Lock()
		delete(h.fleet.children, cmd.Process)
		h.fleet.mu.Unlock()
		h.fleet.record.add("ended", "%s %v", h.name, cmd.ProcessState)
		close(ended)
	}()
}

func (h *host) signal(s syscall.Signal) {
	h.fleet.record.add("signal", "%s %v", h.name, s)
	_ = h.process.Process.Signal(s)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if h.isReady() {
			return
		}
	}
	h.fleet.close()
	cannotRun(h.name + " is not ready")
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	f.mu.Lock()
	for p := range f.children {
		_ = p.Kill()
	}
	f.mu.Unlock()
	for range 100 {
		f.mu.Lock()
		n := len(f.children)
		f.mu.Unlock()
		if n == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}

// addEngines starts n replicas of a service.
func (f *fleet) addEngines(service string, n, slots int, pause time.Duration, events func(string) int) {
	for i := range n {
		e := &engine{
			id: fmt.Sprintf("i-%s-%d", service, i+1), service: service, zone: zones[i%len(zones)], slots: slots, store: f.store, record: f.record,
			pause: pause, events: events,
		}
		e.start("127.0.0.1")
		f.engines = append(f.engines, e)
	}
}
