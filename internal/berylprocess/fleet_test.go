package berylprocess

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/pkg/berylapi"
)

const (
	model           = "test-llm"
	service         = "orders"
	loopbackAddress = "127.0.0.1:0"
	readyTimeout    = 30 * time.Second
	pollInterval    = 20 * time.Millisecond
	callTimeout     = 30 * time.Second
)

func notifyContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// fleetConfig configures the fleet of a test: the numbers of processes and the slots of each upstream.
type fleetConfig struct {
	hosts    int
	engines  int
	services int
	slots    int
	// engineFlags holds the command-line flags of each engine stand-in.
	engineFlags []string
	resume      bool
	rules       berylconf.Rules
}

// standIn is a running stand-in: an engine, a service or the platform.
type standIn struct {
	*process
	name string
	url  string
}

// host is a running berylroad host.
type host struct {
	*process
	name      string
	addresses servingMessage
	settings  string
}

// fleet holds the processes of a test.
type fleet struct {
	t        *testing.T
	config   fleetConfig
	folder   string
	key      string
	document *berylconf.Document
	// peers is the setting "peers" of hosts that are started from now on.
	peers    []string
	platform *standIn
	engines  []*standIn
	services []*standIn
	hosts    []*host
}

// startFleet starts the configured processes and waits until every host is ready.
func startFleet(t *testing.T, p fleetConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, config: p, folder: t.TempDir()}
	f.platform = f.startStandIn("platform", "platform")
	for i := range p.engines {
		arguments := append([]string{"engine", "--model", model}, p.engineFlags...)
		f.engines = append(f.engines, f.startStandIn(fmt.Sprintf("engine-%d", i+1), arguments...))
	}
	for i := range p.services {
		f.services = append(f.services, f.startStandIn(fmt.Sprintf("service-%d", i+1), "service"))
	}
	f.run("key", "create-ca", f.folder)
	for i := range p.hosts {
		f.hosts = append(f.hosts, f.startHost(fmt.Sprintf("host-%d", i+1), loopbackAddress, loopbackAddress))
	}
	f.configure()
	for _, h := range f.hosts {
		f.waitReady(h)
	}
	return f
}

// startStandIn starts a stand-in and reads its URL from the first line of its output.
func (f *fleet) startStandIn(name string, arguments ...string) *standIn {
	f.t.Helper()
	u := &standIn{name: name}
	first := func(line []byte) bool {
		u.url = string(bytes.Clone(line))
		return true
	}
	u.process = start(f.t, name, first, append([]string{"berylroad-standin"}, arguments...)...)
	return u
}

// run runs a berylroad command, waits until it exits and returns its output.
func (f *fleet) run(arguments ...string) string {
	f.t.Helper()
	out, err := exec.Command("berylroad", arguments...).CombinedOutput()
	if err != nil {
		f.t.Fatalf("berylroad %v: %v\n%s", arguments, err, out)
	}
	return string(out)
}

// startHost starts a host with the name. It creates the host's certificate if there is none yet.
func (f *fleet) startHost(name, callerAddress, peerAddress string) *host {
	f.t.Helper()
	if _, err := os.Stat(filepath.Join(f.folder, name+".pem")); err != nil {
		f.run("key", "create-host", f.folder, name)
	}
	h := &host{name: name, settings: filepath.Join(f.folder, name+".json")}
	f.write(h.settings, map[string]any{
		"host":             name,
		"region":           "test",
		"failure-domain":   "test-" + name,
		"caller-address":   callerAddress,
		"peer-address":     peerAddress,
		"operator-address": loopbackAddress,
		"platform":         []string{f.platform.url},
		"peers":            f.peers,
		"ca-file":          filepath.Join(f.folder, "ca.pem"),
		"cert-file":        filepath.Join(f.folder, name+".pem"),
		"key-file":         filepath.Join(f.folder, name+"-key.pem"),
		"balancer-notice":  "200ms",
	})
	h.process = start(f.t, name, h.addresses.decode, "berylroad", "serve", "--settings", h.settings)
	return h
}

// restart waits until a host has exited and starts it again with the same addresses.
func (f *fleet) restart(h *host) *host {
	f.t.Helper()
	<-h.exited
	restarted := f.startHost(h.name, h.addresses.CallerAddress, h.addresses.PeerAddress)
	f.hosts[f.index(h)] = restarted
	return restarted
}

func (f *fleet) index(h *host) int {
	for i := range f.hosts {
		if f.hosts[i] == h {
			return i
		}
	}
	f.t.Fatalf("no host %s", h.name)
	return -1
}

func (f *fleet) write(path string, value any) {
	f.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// configure builds a configuration whose inventory contains the started processes, and applies it.
func (f *fleet) configure() {
	f.t.Helper()
	key, hash := berylkey.NewCallerKey()
	f.key = key
	f.document = &berylconf.Document{Rules: f.config.rules}
	v := &f.document.Inventory
	v.Callers = []berylconf.Caller{{Name: "tester", KeyHash: hash}}
	v.Services = []berylconf.Service{{Name: service, NeverRepeat: []string{"/place"}}}
	for _, h := range f.hosts {
		v.Hosts = append(v.Hosts, berylconf.Host{Name: h.name, Region: "test", FailureDomain: "test-" + h.name, PeerAddress: h.addresses.PeerAddress})
	}
	for _, e := range f.engines {
		v.Upstreams = append(v.Upstreams, berylconf.Upstream{Name: e.name, URL: e.url, Region: "test", FailureDomain: "test-a", Models: []string{model}, Slots: f.config.slots, Resume: f.config.resume})
	}
	for _, s := range f.services {
		v.Upstreams = append(v.Upstreams, berylconf.Upstream{Name: s.name, URL: s.url, Region: "test", FailureDomain: "test-a", Service: service, Slots: f.config.slots})
	}
	f.applyDocument()
}

// applyDocument applies f.document with the command line.
func (f *fleet) applyDocument() {
	f.t.Helper()
	path := filepath.Join(f.folder, "fleet.json")
	f.write(path, f.document)
	f.run("config", "apply", path, "--platform", f.platform.url)
}

func (f *fleet) waitReady(h *host) {
	f.t.Helper()
	f.eventually(h.name+" is ready", func() bool {
		response, err := http.Get("http://" + h.addresses.CallerAddress + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// eventually polls the condition until it holds, and fails the test after readyTimeout.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("timeout after %s waiting for: %s", readyTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

func (f *fleet) client(h *host) *berylapi.Client {
	return &berylapi.Client{BaseURL: "http://" + h.addresses.CallerAddress, Key: f.key}
}

// setFault sets the scripted fault of a stand-in.
func (f *fleet) setFault(u *standIn, fault any) {
	f.t.Helper()
	data, err := json.Marshal(fault)
	if err != nil {
		f.t.Fatal(err)
	}
	response, err := http.Post(u.url+"/standin/fault", "application/json", bytes.NewReader(data))
	if err != nil {
		f.t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		f.t.Fatalf("setting a fault at %s: %s", u.name, response.Status)
	}
}

// counts returns the counters of an engine or service stand-in.
func (f *fleet) counts(u *standIn) berylfake.Counts {
	f.t.Helper()
	response, err := http.Get(u.url + "/standin/counts")
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	var counts berylfake.Counts
	if err := json.NewDecoder(response.Body).Decode(&counts); err != nil {
		f.t.Fatal(err)
	}
	return counts
}

// chatBody returns the body of a chat request for an answer of that many tokens. Each text has a different answer.
func chatBody(text string, tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, model, tokens, stream, text)
}

// request is a request that a test sends.
type request struct {
	path   string
	body   []byte
	header http.Header
}

// reply is the response to a request, or the error if there was none.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request to a host with the caller's key. It returns an error after callTimeout.
func (f *fleet) send(ctx context.Context, h *host, r request) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.addresses.CallerAddress+r.path, bytes.NewReader(r.body))
	if err != nil {
		return reply{err: err}
	}
	for name, values := range r.header {
		call.Header[name] = values
	}
	call.Header.Set("Authorization", "Bearer "+f.key)
	call.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: body.Bytes(), err: err}
}

// chat sends a chat request with the text.
func (f *fleet) chat(h *host, text string, tokens int, stream bool) reply {
	return f.send(f.t.Context(), h, request{path: "/v1/chat/completions", body: chatBody(text, tokens, stream)})
}

// submit submits a job with that many items, whose answers have that many tokens, and returns its id.
func (f *fleet) submit(h *host, items, tokens int) string {
	f.t.Helper()
	var input bytes.Buffer
	for i := range items {
		fmt.Fprintf(&input, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":%s}`+"\n", i, chatBody(fmt.Sprint("part ", i), tokens, false))
	}
	client := f.client(h)
	file, err := client.Upload(f.t.Context(), "", "items.jsonl", input.Bytes())
	if err != nil {
		f.t.Fatal(err)
	}
	batch, err := client.Submit(f.t.Context(), "", "/v1/chat/completions", file.ID)
	if err != nil {
		f.t.Fatal(err)
	}
	return batch.ID
}

// isComplete reports whether the reply is the complete and correct answer to the request with the body.
func (r reply) isComplete(body []byte, stream bool) bool {
	if r.err != nil || r.status != http.StatusOK {
		return false
	}
	want, err := berylfake.EngineAnswer("/v1/chat/completions", body)
	if err != nil {
		return false
	}
	text, complete, err := berylfake.ReadAnswer(stream, r.body)
	return err == nil && text == want && (complete || !stream)
}

// code returns the error code of a reply, or an empty string if it is not an error.
func (r reply) code() string {
	var envelope berylapi.ErrorBody
	_ = json.Unmarshal(r.body, &envelope)
	return envelope.Error.Code
}
