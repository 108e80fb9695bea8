package berylwire_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/internal/berylwire"
)

// hangTimeout bounds a test that hangs. No assertion depends on it.
const hangTimeout = 20 * time.Second

func TestFaults(t *testing.T) {
	hosts := newTestHosts(t)
	foreign := newTestHosts(t)
	big := strings.Repeat("x", 3000)
	for _, test := range []struct {
		name   string
		client berylwire.Config
		peer   func(berylwire.Peer) berylwire.Peer
		kind   string
		text   string
		fault  berylwire.Fault
		cause  string
	}{
		{name: "foreign CA", client: berylwire.Config{Credentials: foreign.credentials("host-a")}, fault: berylwire.Unreachable, cause: "certificate"},
		{name: "expired certificate", client: berylwire.Config{Credentials: hosts.expiredCredentials("host-a")}, fault: berylwire.Unreachable, cause: "certificate"},
		{name: "wrong name", peer: withName("host-c"), fault: berylwire.Unreachable, cause: "host-c"},
		{name: "nobody there", peer: withAddress("127.0.0.1:9"), fault: berylwire.Unreachable},
		{name: "bad address", peer: withAddress("nowhere"), fault: berylwire.Unreachable, cause: "address"},
		{name: "request too large for the caller", text: strings.Repeat("x", 5000), fault: berylwire.Unreachable, cause: "4096"},
		{name: "request too large for the peer", text: big, fault: berylwire.Malformed, cause: "2048"},
		{name: "answer too large", kind: "grow", fault: berylwire.Remote, cause: "2048"},
		{name: "body of another type", kind: "count", fault: berylwire.Malformed},
		{name: "answer of another type", kind: "number", fault: berylwire.BadReply},
		{name: "unknown kind", kind: "no-such-kind", fault: berylwire.UnknownKind},
		{name: "handler error", text: "fail", fault: berylwire.Remote, cause: "asked to fail"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := hosts.listen(berylwire.Config{Name: "host-b", MaxFrameBytes: 2048})
			berylwire.Handle(b, "grow", func(context.Context, string, echoMessage) (echoMessage, error) {
				return echoMessage{Text: big}, nil
			})
			berylwire.Handle(b, "count", func(_ context.Context, _ string, n int) (int, error) { return n, nil })
			berylwire.Handle(b, "number", func(context.Context, string, echoMessage) (int, error) { return 7, nil })
			peer := hosts.serve(b)
			if test.peer != nil {
				peer = test.peer(peer)
			}
			test.client.Name = "host-a"
			test.client.MaxFrameBytes = 4096
			a := hosts.listen(test.client)
			if test.kind == "" {
				test.kind = "echo"
			}
			ctx, cancel := context.WithTimeout(t.Context(), hangTimeout)
			defer cancel()
			_, err := berylwire.Call[echoMessage, echoMessage](ctx, a, peer, test.kind, echoMessage{Text: test.text})
			t.Log(err)
			is.Equal(berylwire.FaultOf(err), test.fault)
			is.True(strings.Contains(err.Error(), test.cause))
			notRun := test.fault != berylwire.Remote && test.fault != berylwire.BadReply
			is.Equal(berylwire.MayHaveRun(err), !notRun)
		})
	}
}

func withName(name string) func(berylwire.Peer) berylwire.Peer {
	return func(p berylwire.Peer) berylwire.Peer { return berylwire.Peer{Name: name, Address: p.Address} }
}

func withAddress(address string) func(berylwire.Peer) berylwire.Peer {
	return func(p berylwire.Peer) berylwire.Peer { return berylwire.Peer{Name: p.Name, Address: address} }
}

// expiredCredentials returns credentials that were valid two years ago.
func (hosts testHosts) expiredCredentials(name string) *berylkey.Credentials {
	then := time.Now().AddDate(-2, 0, 0)
	pair, err := hosts.ca.CreateHost(then, name)
	if err != nil {
		hosts.t.Fatal(err)
	}
	credentials, err := berylkey.New(then, hosts.ca.Cert, pair)
	if err != nil {
		hosts.t.Fatal(err)
	}
	return credentials
}

func TestGarbageIsAnsweredAsMalformed(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	peer := hosts.serve(hosts.listen(berylwire.Config{Name: "host-b"}))
	conn, err := quic.DialAddr(t.Context(), peer.Address, hosts.credentials("host-a").ClientConfig("host-b", "berylroad/1"), nil)
	is.NoErr(err)
	defer func() { is.NoErr(conn.CloseWithError(0, "")) }()
	stream, err := conn.OpenStream()
	is.NoErr(err)
	_, err = stream.Write([]byte("\xffnot CBOR"))
	is.NoErr(err)
	is.NoErr(stream.Close())
	var reply []any
	is.NoErr(cbor.NewDecoder(stream).Decode(&reply))
	is.Equal(reply[0], uint64(2)) // statusMalformed
}

func TestEndOfTheCallersContextEndsTheHandlers(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	b := hosts.listen(berylwire.Config{Name: "host-b"})
	started, ended := make(chan struct{}), make(chan struct{})
	berylwire.Handle(b, "wait", func(ctx context.Context, _ string, _ echoMessage) (echoMessage, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return echoMessage{}, ctx.Err()
	})
	peer := hosts.serve(b)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := berylwire.Call[echoMessage, echoMessage](ctx, hosts.listen(berylwire.Config{Name: "host-a"}), peer, "wait", echoMessage{})
	is.Equal(berylwire.FaultOf(err), berylwire.Lost)
	is.True(errors.Is(err, context.Canceled))
	<-ended
}

func TestSurplusRequestsOfAKindAreRefused(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	b := hosts.listen(berylwire.Config{Name: "host-b", MaxConcurrentPerKind: 1})
	started, release := make(chan struct{}), make(chan struct{})
	berylwire.Handle(b, "wait", func(context.Context, string, echoMessage) (echoMessage, error) {
		close(started)
		<-release
		return echoMessage{}, nil
	})
	peer := hosts.serve(b)
	a := hosts.listen(berylwire.Config{Name: "host-a"})
	first := make(chan error, 1)
	go func() {
		_, err := berylwire.Call[echoMessage, echoMessage](context.Background(), a, peer, "wait", echoMessage{})
		first <- err
	}()
	<-started
	_, err := berylwire.Call[echoMessage, echoMessage](t.Context(), a, peer, "wait", echoMessage{})
	is.Equal(berylwire.FaultOf(err), berylwire.Busy)
	_, err = berylwire.Call[echoMessage, echoMessage](t.Context(), a, peer, "echo", echoMessage{})
	is.NoErr(err) // the limit applies to each kind of request on its own
	close(release)
	is.NoErr(<-first)
}

// udpRelay forwards datagrams between one caller and a target. The target can be changed or cut off without the
// caller being notified.
type udpRelay struct {
	socket *net.UDPConn
	caller atomic.Pointer[net.UDPAddr]
	target atomic.Pointer[net.UDPAddr] // nil drops all datagrams
}

func newUDPRelay(t *testing.T) *udpRelay {
	is := is.New(t)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	t.Cleanup(func() { _ = socket.Close() })
	s := &udpRelay{socket: socket}
	go s.forward()
	return s
}

func (s *udpRelay) forward() {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := s.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		target := s.target.Load()
		switch {
		case target == nil:
		case from.Port == target.Port:
			_, _ = s.socket.WriteToUDP(buffer[:n], s.caller.Load())
		case s.caller.CompareAndSwap(nil, from) || from.Port == s.caller.Load().Port:
			_, _ = s.socket.WriteToUDP(buffer[:n], target)
		}
	}
}

func (s *udpRelay) forwardTo(t *testing.T, to *berylwire.Endpoint) {
	address, err := net.ResolveUDPAddr("udp", to.Addr())
	is.New(t).NoErr(err)
	s.target.Store(address)
}

func TestPeerRestartedAtTheSameAddressIsReachedAtOnce(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	credentials := hosts.credentials("host-b")
	before := hosts.listen(berylwire.Config{Name: "host-b", Credentials: credentials})
	after := hosts.listen(berylwire.Config{Name: "host-b", Credentials: credentials})
	hosts.serve(before)
	hosts.serve(after)
	s := newUDPRelay(t)
	s.forwardTo(t, before)
	a := hosts.listen(berylwire.Config{Name: "host-a"})
	peer := berylwire.Peer{Name: "host-b", Address: s.socket.LocalAddr().String()}
	_, err := berylwire.Call[echoMessage, echoMessage](t.Context(), a, peer, "echo", echoMessage{})
	is.NoErr(err)
	s.forwardTo(t, after) // from here on nothing from the old process reaches the caller
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = berylwire.CallIdempotent[echoMessage, echoMessage](ctx, a, peer, "echo", echoMessage{Text: "long enough for a stateless reset"})
	is.NoErr(err) // succeeds within 1 s and does not wait for the old connection's idle timeout
}

func TestUnresponsivePeerDoesNotBlockPastContext(t *testing.T) {
	for _, test := range []struct {
		name   string
		called bool // whether a connection was made before
		fault  berylwire.Fault
	}{
		{name: "never answered", fault: berylwire.Unreachable},
		{name: "frozen after a call", called: true, fault: berylwire.Lost},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			hosts := newTestHosts(t)
			b := hosts.listen(berylwire.Config{Name: "host-b"})
			hosts.serve(b)
			s := newUDPRelay(t)
			a := hosts.listen(berylwire.Config{Name: "host-a"})
			peer := berylwire.Peer{Name: "host-b", Address: s.socket.LocalAddr().String()}
			if test.called {
				s.forwardTo(t, b)
				_, err := berylwire.Call[echoMessage, echoMessage](t.Context(), a, peer, "echo", echoMessage{})
				is.NoErr(err)
				s.target.Store(nil)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := berylwire.Call[echoMessage, echoMessage](ctx, a, peer, "echo", echoMessage{})
			is.Equal(berylwire.FaultOf(err), test.fault)
			is.True(errors.Is(err, context.DeadlineExceeded))
			s.forwardTo(t, b)
			_, err = berylwire.CallIdempotent[echoMessage, echoMessage](t.Context(), a, peer, "echo", echoMessage{})
			is.NoErr(err) // the endpoint is usable again once the peer can be reached
		})
	}
}
