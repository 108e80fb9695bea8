package berylcall

import (
	"context"
	"crypto/tls"
	"net"
	"net/url"
	"time"
)

// connect takes an idle connection to the upstream or opens one.
func (a *attempt) connect(base string) bool {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return a.fail(endConnect, "the upstream's URL cannot be used")
	}
	a.addr = hostPort(u)
	a.conn = a.kept()
	if a.conn == nil {
		a.conn, err = a.dial(u)
	}
	if err != nil {
		return a.fail(a.cancelled(endConnect), "no connection to the upstream")
	}
	c := a.conn
	a.detach = context.AfterFunc(a.ctx, func() { c.Close() })
	return true
}

// kept returns an idle connection. A request that must not be repeated gets none: one that the upstream is about
// to close would leave it unknown whether the request ran.
func (a *attempt) kept() *conn {
	if !a.req.Repeatable || a.conn != nil {
		return nil
	}
	return a.runner.pool.get(a.addr, a.began)
}

func (a *attempt) dial(u *url.URL) (*conn, error) {
	if u.Scheme != "https" {
		return dial(a.ctx, a.addr, nil)
	}
	config := a.runner.TLS.Clone()
	if config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		config.ServerName = u.Hostname()
	}
	return dial(a.ctx, a.addr, config)
}

func hostPort(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// hangUp closes the connection, which never carries another call.
func (a *attempt) hangUp() {
	if a.conn == nil {
		return
	}
	a.end.sent += a.conn.sent.Swap(0)
	a.detach()
	a.conn.Close()
	a.stream = nil
	a.response.Reset()
}

// keep leaves the connection for another call, for which the answer must have been read to its end.
func (a *attempt) keep() {
	a.end.sent += a.conn.sent.Swap(0)
	reusable := a.detach() && !a.response.Header.ConnectionClose()
	a.stream = nil
	a.response.Reset()
	if !reusable {
		a.conn.Close()
		return
	}
	if a.conn.SetReadDeadline(time.Time{}) != nil {
		a.conn.Close()
		return
	}
	a.runner.pool.put(a.addr, a.conn, time.Now())
}
