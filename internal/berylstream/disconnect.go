package berylstream

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// checkInterval is how often the connections of waiting callers are looked at.
	checkInterval = 250 * time.Millisecond
	// tcpCloseWait is the kernel's state of a connection that the peer has closed.
	tcpCloseWait = 8
	// tcpStateMask takes the state, which is the first byte, out of the kernel's TCP_INFO.
	tcpStateMask = 0xff
)

// DisconnectWatcher looks for callers that have closed their connections while a call runs for them.
// fasthttp reads nothing while a handler runs and so does not notice by itself.
type DisconnectWatcher struct {
	mu      sync.Mutex
	watched map[*watchedConn]struct{}
}

// watchedConn is one watched connection.
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

// Run looks at the watched connections until ctx ends.
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

// isGone looks at the next byte on the connection without taking it or waiting for it.
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

// hasPeerClosed reports whether the end of the connection stands behind bytes that are still unread, such as TLS's own
// farewell or a request sent ahead.
func hasPeerClosed(descriptor int) bool {
	info, err := syscall.GetsockoptInt(descriptor, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	return err == nil && info&tcpStateMask == tcpCloseWait
}
