package berylwire_test

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"berylroad.example/berylroad/internal/berylwire"
)

// duplexPeer serves duplex streams with a handler and returns the endpoint that opens them.
func duplexPeer(t *testing.T, h func(ctx context.Context, peer string, header echoMessage, accept func() (*berylwire.Duplex, error)) error) (*berylwire.Endpoint, berylwire.Peer) {
	hosts := newTestHosts(t)
	b := hosts.listen(berylwire.Config{Name: "host-b"})
	berylwire.HandleDuplex(b, "duplex", h)
	return hosts.listen(berylwire.Config{Name: "host-a"}), hosts.serve(b)
}

func TestDuplex(t *testing.T) {
	is := is.New(t)
	a, peer := duplexPeer(t, func(_ context.Context, peer string, header echoMessage, accept func() (*berylwire.Duplex, error)) error {
		d, err := accept()
		if err != nil {
			return err
		}
		_, err = io.WriteString(d, peer+" "+header.Text+"\n")
		if err != nil {
			return err
		}
		line := make([]byte, 4)
		if _, err := io.ReadFull(d, line); err != nil {
			return err
		}
		if _, err := d.Write(line); err != nil {
			return err
		}
		if err := d.CloseWrite(); err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, d)
		return err
	})
	d, err := berylwire.OpenDuplex(t.Context(), a, peer, "duplex", echoMessage{Text: "hello"})
	is.NoErr(err)
	defer d.Abort()
	_, err = d.Write([]byte("ping"))
	is.NoErr(err)
	all, err := io.ReadAll(d)
	is.NoErr(err)
	is.Equal(string(all), "host-a hello\nping")
}

// Guards against a stream that was broken off looking complete, and against an end that its handler does not notice.
func TestAbortedDuplex(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	a, peer := duplexPeer(t, func(_ context.Context, _ string, header echoMessage, accept func() (*berylwire.Duplex, error)) error {
		d, err := accept()
		if err != nil {
			return err
		}
		if _, err = io.WriteString(d, "part"); err != nil {
			return err
		}
		if header.Text == "break" {
			_, err = io.ReadFull(d, make([]byte, 1)) // the caller has received the acceptance
			return err
		}
		_, err = io.Copy(io.Discard, d)
		ended <- err
		return err
	})
	d, err := berylwire.OpenDuplex(t.Context(), a, peer, "duplex", echoMessage{Text: "break"})
	is.NoErr(err)
	_, err = d.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadAll(d)
	is.True(err != nil) // the handler has ended without CloseWrite
	d.Abort()

	d, err = berylwire.OpenDuplex(t.Context(), a, peer, "duplex", echoMessage{Text: "wait"})
	is.NoErr(err)
	d.Abort()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(2 * time.Second):
		t.Fatal("the handler has not noticed the end of the stream")
	}
}

func TestRefusedDuplex(t *testing.T) {
	is := is.New(t)
	a, peer := duplexPeer(t, func(context.Context, string, echoMessage, func() (*berylwire.Duplex, error)) error {
		return errors.New("isolated")
	})
	for _, kind := range []string{"duplex", "unknown"} {
		_, err := berylwire.OpenDuplex(t.Context(), a, peer, kind, echoMessage{})
		var failed *berylwire.Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.Fault, berylwire.Remote)
		is.True(kind != "duplex" || strings.Contains(err.Error(), "isolated"))
	}
}

// serveWithoutDuplex answers as builds up to 770f2cb do, which take each stream for one request: they read to its end first.
func serveWithoutDuplex(t *testing.T, hosts testHosts, streams *atomic.Int64) berylwire.Peer {
	t.Helper()
	listener, err := quic.ListenAddr("127.0.0.1:0", hosts.credentials("host-b").ServerConfig("berylroad/1"), nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept(t.Context())
		for err == nil {
			var stream *quic.Stream
			if stream, err = conn.AcceptStream(t.Context()); err != nil {
				return
			}
			streams.Add(1)
			go func() {
				defer stream.Close()
				if _, err := io.ReadAll(stream); err == nil {
					malformed, _ := cbor.Marshal([]any{2, "cbor: extraneous data", nil})
					_, _ = stream.Write(malformed)
				}
			}()
		}
	}()
	return berylwire.Peer{Name: "host-b", Address: listener.Addr().String()}
}

// Guards against a wait of seconds for a host of an older build that does not know duplex streams: it reads a stream to its end before
// it answers, and the end of this one does not come.
func TestDuplexToAnOlderHost(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	var streams atomic.Int64
	peer := serveWithoutDuplex(t, hosts, &streams)
	a := hosts.listen(berylwire.Config{Name: "host-a"})
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		_, err := berylwire.OpenDuplex(ctx, a, peer, "duplex", echoMessage{})
		is.NoErr(ctx.Err()) // the answer comes at once
		cancel()
		var failed *berylwire.Error
		is.True(errors.As(err, &failed))
		is.Equal(failed.Fault, berylwire.UnknownKind)
	}
	is.Equal(streams.Load(), int64(1)) // asked once a connection
}

// Guards against streams that nobody reads, such as carried calls whose callers are slow, holding back the messages between hosts or
// holding more than their windows.
func TestUnreadStreamsLeaveRoomForCalls(t *testing.T) {
	is := is.New(t)
	const streams, window = 256, 64 << 10
	hosts := newTestHosts(t)
	b := hosts.listen(berylwire.Config{Name: "host-b"})
	var written atomic.Int64
	berylwire.HandleDuplex(b, "endless", func(_ context.Context, _ string, _ echoMessage, accept func() (*berylwire.Duplex, error)) error {
		d, err := accept()
		for err == nil {
			var n int
			n, err = d.Write(make([]byte, 4<<10))
			written.Add(int64(n))
		}
		return err
	})
	a, peer := hosts.listen(berylwire.Config{Name: "host-a"}), hosts.serve(b)
	var opened []*berylwire.Duplex
	for range streams {
		d, err := berylwire.OpenDuplex(t.Context(), a, peer, "endless", echoMessage{})
		is.NoErr(err)
		defer d.Abort()
		opened = append(opened, d)
	}
	for range 4 { // reads as much at first as would widen a window that adapts
		for _, d := range opened {
			_, err := io.CopyN(io.Discard, d, window)
			is.NoErr(err)
		}
	}
	for before := int64(-1); written.Load() != before; time.Sleep(200 * time.Millisecond) {
		before = written.Load()
	}
	unread := written.Load() - 4*streams*window
	is.True(unread <= streams*(window+4<<10))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // only tells a call that waits for the streams
	defer cancel()
	text := strings.Repeat("x", 1<<20)
	answer, err := berylwire.Call[echoMessage, echoMessage](ctx, a, peer, "echo", echoMessage{Text: text})
	is.NoErr(err)
	is.Equal(answer.Text, "host-a:"+text)
}
