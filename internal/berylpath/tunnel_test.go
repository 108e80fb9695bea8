package berylpath

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylroute"
)

// pipeStream is one end of a stream in memory.
type pipeStream struct {
	*io.PipeReader
	*io.PipeWriter
}

var errAborted = errors.New("aborted")

func newPipe() (a, b *pipeStream) {
	fromA, toB := io.Pipe()
	fromB, toA := io.Pipe()
	return &pipeStream{fromA, toA}, &pipeStream{fromB, toB}
}

func (s *pipeStream) Close() error      { s.Abort(); return nil }
func (s *pipeStream) CloseWrite() error { return s.PipeWriter.Close() }
func (s *pipeStream) Abort() {
	_ = s.PipeReader.CloseWithError(errAborted)
	_ = s.PipeWriter.CloseWithError(errAborted)
}

// upstreamList holds upstreams by ID.
type upstreamList map[string]berylroute.Upstream

func (l upstreamList) All() map[string]berylroute.Upstream { return l }

// hostList is a fleet in memory.
type hostList struct {
	paths map[string]*Paths
	// asked names the hosts that were asked to carry, in order.
	asked []string
}

func (l *hostList) Carriers() []Carrier {
	var list []Carrier
	for host := range l.paths {
		list = append(list, Carrier{Host: host, FailureDomain: host[:1]})
	}
	return list
}

func (l *hostList) Open(ctx context.Context, host string, request Request) (Stream, error) {
	l.asked = append(l.asked, host)
	if l.paths[host] == nil {
		return nil, errors.New("unreachable")
	}
	mine, theirs := newPipe()
	go func() {
		_ = l.paths[host].HandleTunnel(ctx, "self", request, func() (Stream, error) { return theirs, nil })
		theirs.Abort()
	}()
	return mine, nil
}

// newPaths returns the paths of one host, isolated or not.
func newPaths(upstreams upstreamList, hosts *hostList, isolated bool, dial func(ctx context.Context, address string) (net.Conn, error)) *Paths {
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := New(Config{Upstreams: upstreams, Dial: dial, Carriers: hosts, Log: log, Metrics: metrics.NewSet()})
	if isolated {
		p.monitor.state = Isolated
	}
	return p
}

var errRefused = errors.New("connection refused")

func refuse(context.Context, string) (net.Conn, error) { return nil, errRefused }

// upstreamServer is an upstream in the test process.
type upstreamServer struct {
	net.Listener
	conns chan *net.TCPConn
}

func startUpstream(t *testing.T) (*upstreamServer, berylroute.Upstream) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &upstreamServer{Listener: listener, conns: make(chan *net.TCPConn, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- conn.(*net.TCPConn)
		}
	}()
	return s, berylroute.Upstream{ID: "u", Address: listener.Addr().String(), FailureDomain: "a"}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", address)
}

// Guards against bytes, ends and resets that a carried connection passes on differently from one of the host's own.
func TestCarriedConnection(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(upstream *net.TCPConn)
		want error // of the read after the last byte
	}{
		{"closed by the upstream", func(c *net.TCPConn) { _ = c.Close() }, io.EOF},
		{"reset by the upstream", func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, errAborted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server, u := startUpstream(t)
			hosts := &hostList{paths: map[string]*Paths{}}
			hosts.paths["a-1"] = newPaths(upstreamList{"u": u}, hosts, false, dialTCP)
			p := newPaths(upstreamList{"u": u}, hosts, true, refuse)
			conn, host, err := p.Connect(t.Context(), u)
			is.NoErr(err)
			is.Equal(host, "a-1")
			upstream := <-server.conns
			_, err = conn.Write([]byte("ping"))
			is.NoErr(err)
			got := make([]byte, 4)
			_, err = io.ReadFull(upstream, got)
			is.NoErr(err)
			is.Equal(string(got), "ping")
			_, err = upstream.Write([]byte("pong"))
			is.NoErr(err)
			_, err = io.ReadFull(conn, got)
			is.NoErr(err)
			is.Equal(string(got), "pong")
			tt.end(upstream)
			_, err = conn.Read(got)
			is.True(errors.Is(err, tt.want))
			is.NoErr(conn.Close())
		})
	}
}

// Guards against a carrying host that ends a call because its upstream is silent: whether another run may follow is known to the
// caller's host alone.
func TestSilentUpstreamOfACarriedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		u := berylroute.Upstream{ID: "u", Address: "u", FailureDomain: "a"}
		near, upstream := net.Pipe()
		hosts := &hostList{paths: map[string]*Paths{}}
		var dialed atomic.Bool
		carrier := newPaths(upstreamList{"u": u}, hosts, false, func(ctx context.Context, address string) (net.Conn, error) {
			if !dialed.CompareAndSwap(false, true) {
				return refuse(ctx, address)
			}
			return near, nil
		})
		hosts.paths["a-1"] = carrier
		caller := newPaths(upstreamList{"u": u}, hosts, true, refuse)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go carrier.Run(ctx)
		go caller.Run(ctx)
		conn, _, err := caller.Connect(t.Context(), u)
		is.NoErr(err)
		carrier.monitor.mu.Lock()
		carrier.monitor.state = Isolated // as far as the carrier knows; the connection lives on
		carrier.monitor.mu.Unlock()
		time.Sleep(30 * time.Second)
		go func() { _, _ = upstream.Write([]byte("pong")) }()
		got := make([]byte, 4)
		_, err = io.ReadFull(conn, got)
		is.NoErr(err)
		is.Equal(string(got), "pong")
		is.NoErr(conn.Close())
	})
}

// Guards against an upstream that works on after the caller's host has ended a carried call.
func TestEndOfACarriedCallReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	server, u := startUpstream(t)
	hosts := &hostList{paths: map[string]*Paths{}}
	carrier := newPaths(upstreamList{"u": u}, hosts, false, dialTCP)
	hosts.paths["a-1"] = carrier
	conn, _, err := newPaths(upstreamList{"u": u}, hosts, true, refuse).Connect(t.Context(), u)
	is.NoErr(err)
	upstream := <-server.conns
	is.NoErr(conn.Close())
	is.NoErr(upstream.SetReadDeadline(time.Now().Add(2 * time.Second)))
	_, err = upstream.Read(make([]byte, 1))
	is.True(err != nil)
	var timeout net.Error
	is.True(!errors.As(err, &timeout) || !timeout.Timeout())
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	carrier.Drain(ctx)
	is.NoErr(ctx.Err()) // no tunnel is left
}

// Guards against hosts that are isolated themselves, stop or know better being used to carry, and against asking all hosts for
// an upstream that none can reach.
func TestChoiceOfCarriers(t *testing.T) {
	_, u := startUpstream(t)
	leaving, moved := u, u
	leaving.Leaving = true
	moved.Address = "127.0.0.1:1"
	known := upstreamList{"u": u}
	for _, tt := range []struct {
		name  string
		paths func(hosts *hostList) map[string]*Paths
		want  error
		asked int
	}{
		{"all isolated", func(hosts *hostList) map[string]*Paths {
			return map[string]*Paths{"a-1": newPaths(known, hosts, true, refuse), "b-1": newPaths(known, hosts, true, refuse)}
		}, ErrNoPath, 2},
		{"all unreachable", func(*hostList) map[string]*Paths { return map[string]*Paths{"a-1": nil, "b-1": nil} }, ErrNoPath, 2},
		{"no others", func(*hostList) map[string]*Paths { return nil }, ErrNoPath, 0},
		{"the upstream is unknown or elsewhere", func(hosts *hostList) map[string]*Paths {
			return map[string]*Paths{"a-1": newPaths(upstreamList{}, hosts, false, dialTCP), "b-1": newPaths(upstreamList{"u": moved}, hosts, false, dialTCP)}
		}, ErrNoPath, 2},
		{"the upstream leaves", func(hosts *hostList) map[string]*Paths {
			return map[string]*Paths{"a-1": newPaths(upstreamList{"u": leaving}, hosts, false, dialTCP), "a-2": newPaths(upstreamList{"u": leaving}, hosts, false, dialTCP)}
		}, nil, 1},
		{"the upstream is down", func(hosts *hostList) map[string]*Paths {
			others := upstreamList{"u": u, "v": u, "w": u}
			return map[string]*Paths{"a-1": newPaths(others, hosts, false, refuse), "a-2": newPaths(others, hosts, false, refuse)}
		}, nil, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			hosts := &hostList{}
			hosts.paths = tt.paths(hosts)
			_, _, err := newPaths(known, hosts, true, refuse).Connect(t.Context(), u)
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrNoPath), tt.want != nil)
			is.Equal(len(hosts.asked), tt.asked)
		})
	}
}

// Guards against load on a host that carries for a whole failure domain.
func TestTunnelsAreBounded(t *testing.T) {
	is := is.New(t)
	_, u := startUpstream(t)
	hosts := &hostList{paths: map[string]*Paths{}}
	carrier := newPaths(upstreamList{"u": u}, hosts, false, dialTCP)
	hosts.paths["a-1"] = carrier
	p := newPaths(upstreamList{"u": u}, hosts, true, refuse)
	carrier.tunnels.active.Store(maxTunnels)
	_, _, err := p.Connect(t.Context(), u)
	is.True(errors.Is(err, ErrNoPath))
	is.Equal(len(hosts.asked), 1)
	_, _, err = p.Connect(t.Context(), u)
	is.True(errors.Is(err, ErrNoPath))
	is.Equal(len(hosts.asked), 1) // a host that has refused is not asked again at once
}

// Guards against the bytes of carried connections that nobody reads outgrowing the memory of an isolated host.
func TestCarriedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	_, u := startUpstream(t)
	hosts := &hostList{paths: map[string]*Paths{}}
	hosts.paths["a-1"] = newPaths(upstreamList{"u": u}, hosts, false, dialTCP)
	p := newPaths(upstreamList{"u": u}, hosts, true, refuse)
	p.carried.Store(maxCarried - 1)
	conn, _, err := p.Connect(t.Context(), u)
	is.NoErr(err)
	_, _, err = p.Connect(t.Context(), u)
	is.True(errors.Is(err, ErrNoPath))
	is.Equal(len(hosts.asked), 1)
	is.NoErr(conn.Close())
	is.NoErr(conn.Close())
	is.Equal(p.carried.Load(), int64(maxCarried-1))
	hosts.paths["a-1"] = nil
	_, _, err = p.Connect(t.Context(), u)
	is.True(errors.Is(err, ErrNoPath))
	is.Equal(p.carried.Load(), int64(maxCarried-1))
}

// Guards against isolated hosts that all ask the same hosts, and against asking the hosts of an isolated failure domain one after
// the other.
func TestCarrierOrder(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var hosts []Carrier
	for i := range 30 {
		hosts = append(hosts, Carrier{Host: fmt.Sprint("h-", i), FailureDomain: []string{"a", "b", "c"}[i%3]})
	}
	firsts := make(map[string]bool)
	for range 200 {
		order := new(carrierChoice).order(now, hosts, "b")
		is.Equal(len(order), maxCarrierTries)
		is.Equal(order[0].FailureDomain, "b")
		is.True(order[1].FailureDomain != order[2].FailureDomain)
		is.True(order[1].FailureDomain != "b" && order[2].FailureDomain != "b")
		firsts[order[0].Host] = true
	}
	is.Equal(len(firsts), 10)

	var c carrierChoice
	c.succeeded(now, "h-2")
	c.succeeded(now, "h-4")
	c.failed(now, "h-1")
	order := c.order(now, hosts, "b")
	is.Equal(order[0].Host, "h-4") // in the upstream's failure domain
	is.Equal(order[1].Host, "h-2")
	for range 100 {
		for _, h := range c.order(now, hosts, "b") {
			is.True(h.Host != "h-1")
		}
	}
	is.Equal(len(c.order(now.Add(time.Minute), hosts[1:2], "b")), 1)
}
