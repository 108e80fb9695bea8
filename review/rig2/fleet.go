//go:build review

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program  = "target/berylroad"
	memoryMb = 284
)

// host is one process of the system.
type host struct {
	name, role, zone, ip string
	front, ready         string
	file, log            string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// fleet is the processes of a small deployment.
type fleet struct {
	store  *store
	folder string
	net    int
	hosts  []*host // entry hosts
	disks  []*host
}

func freePort(ip string) int {
	listener, err := net.Listen("tcp4", ip+":0")
	cannotRun(err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// startFleet starts entry hosts, spread over three zones, and a disk host in each zone.
func startFleet(s *store, entries int) *fleet {
	folder, err := os.MkdirTemp("", "berylroad-review-")
	cannotRun(err)
	f := &fleet{store: s, folder: folder, net: 1 + rand.IntN(200)}
	if os.Getenv("KEEP") == "" {
		atExit(func() { _ = os.RemoveAll(folder) })
	}
	second := 1 + rand.IntN(250)
	for i := range entries + 3 {
		h := &host{role: "entry", zone: "z" + strconv.Itoa(i%3), ip: fmt.Sprintf("127.%d.%d.%d", f.net, second, i+10)}
		h.name = fmt.Sprintf("front-%s-%d", h.zone, i)
		class, serves := "front", "front"
		if i >= entries {
			h.role, h.name, class, serves = "disk", fmt.Sprintf("storage-%s-%d", h.zone, i), "storage", "storage"
		}
		h.file, h.log = filepath.Join(folder, h.name+".conf"), filepath.Join(folder, h.name+".log")
		h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, freePort(h.ip)), fmt.Sprintf("%s:%d", h.ip, freePort(h.ip))
		peer := freePort(h.ip)
		lines := []string{
			"nodeName=" + h.name, "role=" + h.role, "machineClass=" + class, "serves=" + serves, "ipAddress=" + h.ip, "zone=" + h.zone, "region=r",
			"zones.z0=r", "zones.z1=r", "zones.z2=r", "listen.front=" + h.front, "listen.ready=" + h.ready,
			fmt.Sprintf("internalPorts=%d,%d", peer, peer), "seeds=", "bootstrap=true", "countsTowardLoss=false",
			"limits.cpuShare=0.4", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memoryMb), "limits.fileDescriptors=4200", "limits.linkMbps=1000.0", "limits.diskMb=0",
			"discovery=platform", "entry=virtual_ip", "heartbeatIntervalMs=1200", "contracts=base,drain,config,cost,recover,batch,stream,engine,platform",
			"tolerate.machines=1", "bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=5",
			"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
			"bounds.outerBoundMs=5000", "bounds.recoveryS=12", "bounds.passMs=120", "bounds.retryAfterS=0", "bounds.finishS=18", "bounds.statusS=120",
			"bounds.cancelMs=3000", "bounds.settleMs=1000", "bounds.quotaOvershoot=0.1", "platform.address=" + s.address, "platform.form=kv",
			"platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
		}
		if h.role == "disk" {
			disk := filepath.Join(folder, h.name+".disk")
			cannotRun(os.Mkdir(disk, 0o700))
			lines = append(lines, "dataDirectory="+disk)
			f.disks = append(f.disks, h)
		} else {
			f.hosts = append(f.hosts, h)
		}
		cannotRun(os.WriteFile(h.file, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	}
	atExit(f.stop)
	return f
}

func (f *fleet) all() []*host { return append(append([]*host{}, f.hosts...), f.disks...) }

func (f *fleet) startAll() {
	for _, h := range f.all() {
		h.start()
	}
}

func (f *fleet) stop() {
	for _, h := range f.all() {
		h.kill()
	}
}

// start starts the process as the deploy file does.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	cannotRun(err)
	defer log.Close()
	h.process = exec.Command(program, h.role, "run")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BERYLROAD_NODE_FILE=" + h.file}
	h.process.Stdout, h.process.Stderr = log, log
	cannotRun(h.process.Start())
	h.ended = make(chan struct{})
	process, ended := h.process, h.ended
	go func() { defer close(ended); _ = process.Wait() }()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil && h.process.Process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// memory returns the resident memory of the process in MB.
func (h *host) memory() int {
	h.mu.Lock()
	pid := h.process.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entry hosts are ready.
func (f *fleet) awaitReady() {
	end := time.Now().Add(20 * time.Second)
	for _, h := range f.hosts {
		for !h.isReady() {
			if time.Now().After(end) {
				cannotRun(errors.New(h.name + " is not ready"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // all hosts are in touch from here on
	note("all %d entry hosts are ready", len(f.hosts))
}
