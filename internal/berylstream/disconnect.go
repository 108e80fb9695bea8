package berylstream

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"berylroad.example/berylroad/internal/berylsocket"
)

// checkInterval is how often the connections of waiting callers are checked.
const checkInterval = 250 * time.Millisecond

// DisconnectWatcher detects callers that close their connections while a call runs for them. fasthttp does not read
// from a connection while its handler runs, so it does not notice by itself.
type DisconnectWatcher struct {
	mu      sync.Mutex
	watched map[*watchedConn]struct{}
}

// watchedConn is a connection and the function to call when its peer has closed it.
type watchedConn struct {
	raw     syscall.RawConn
	onClose func()
}

// Watch calls gone soon after the connection is closed by its peer, until stop is called.
func (d *DisconnectWatcher) Watch(conn net.Conn, gone func()) (stop func()) {
	w := &watchedConn{onClose: gone}
	if tlsConn, ok := conn.(*tls.Conn); ok {
		conn = tlsConn.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return func() {}
	}
	w.raw = raw
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watched == nil {
		d.watched = make(map[*watchedConn]struct{})
	}
	d.watched[w] = struct{}{}
	return func() { d.remove(w) }
}

func (d *DisconnectWatcher) remove(w *watchedConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watched, w)
}

// Run checks the watched connections until ctx ends.
func (d *DisconnectWatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.check()
		}
	}
}

func (d *DisconnectWatcher) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watched {
		if w.isGone() {
			delete(d.watched, w)
			w.onClose()
		}
	}
}

// isGone reports whether the peer has closed the connection. It peeks at the next byte without consuming it and
// without blocking.
func (w *watchedConn) isGone() bool {
	var next [1]byte
	gone := false
	err := w.raw.Control(func(descriptor uintptr) {
		n, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch err {
		case nil:
			gone = n == 0 || hasPeerClosed(int(descriptor))
		case syscall.EAGAIN, syscall.EINTR:
		default:
			gone = true
		}
	})
	return gone || err != nil
}

// hasPeerClosed reports whether the peer has closed a connection that still has unread bytes, such as the close
// notification of TLS or a pipelined request.
func hasPeerClosed(descriptor int) bool {
	state, err := berylsocket.StateOfDescriptor(descriptor)
	return err == nil && state == berylsocket.EndedByPeer
}
