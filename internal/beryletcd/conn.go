package beryletcd

import (
	"context"
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylresponse"
)

// checkedConn checks, before a request is sent on a reused connection, whether the peer has closed it meanwhile; such a
// request was certainly not sent. It is used by one request at a time.
type checkedConn struct {
	net.Conn
	// used is set by a read and cleared by a write; it marks a connection that has carried a request before.
	used bool
}

// dialer returns a function that connects to the endpoint, with TLS if the endpoint requires it. All its errors are of
// type dialError. wrap is applied to the TCP connection.
func (e *endpoint) dialer(config Config, wrap func(net.Conn) net.Conn) fasthttp.DialFuncWithTimeout {
	return func(address string, timeout time.Duration) (net.Conn, error) {
		if timeout <= 0 || timeout > config.Timeout {
			timeout = config.Timeout
		}
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		conn = wrap(conn)
		if !e.useTLS {
			return berylresponse.NewConn(conn), nil
		}
		secured, err := handshake(conn, config.TLS, e.host, timeout)
		if err != nil {
			_ = conn.Close()
			return nil, &dialError{cause: err}
		}
		return &securedConn{Conn: berylresponse.NewConn(secured), handshake: secured.Handshake}, nil
	}
}

// securedConn is a connection by TLS whose responses are checked. fasthttp knows by the method Handshake that it has TLS already.
type securedConn struct {
	*berylresponse.Conn
	handshake func() error
}

// Handshake returns the result of the handshake.
func (c *securedConn) Handshake() error { return c.handshake() }

// handshake performs the TLS handshake with the named host.
func handshake(conn net.Conn, config *tls.Config, host string, timeout time.Duration) (*tls.Conn, error) {
	if config == nil {
		config = &tls.Config{}
	}
	config = config.Clone()
	if config.ServerName == "" {
		config.ServerName = host
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	secured := tls.Client(conn, config)
	return secured, secured.HandshakeContext(ctx)
}

// Read marks the connection as used.
func (c *checkedConn) Read(p []byte) (int, error) {
	c.used = true
	return c.Conn.Read(p)
}

// Write fails with a dialError when the peer has closed a used connection before this request.
func (c *checkedConn) Write(p []byte) (int, error) {
	if c.used && closedByPeer(c.Conn) {
		return 0, &dialError{cause: net.ErrClosed}
	}
	c.used = false
	return c.Conn.Write(p)
}

// closedByPeer reports whether the peer has closed or reset an idle connection; it does not block.
func closedByPeer(conn net.Conn) bool {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var peek [1]byte
		n, _, err := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
		return true
	})
	return closed || err != nil
}
