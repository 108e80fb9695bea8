package berylcall

import (
	"context"
	"crypto/tls"
	"net"
	"net/url"
	"time"
)

// connect takes an idle connection to the upstream from the pool or opens a new one.
func (a *attempt) connect(base string) bool {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return a.fail(endConnectFailed, "the upstream's URL cannot be used")
	}
	a.addr = hostPort(u)
	a.conn = a.idleConn()
	if a.conn == nil {
		a.conn, err = a.dial(u)
	}
	if err != nil {
		return a.fail(a.contextReasonOr(endConnectFailed), "no connection to the upstream")
	}
	c := a.conn
	a.stopCloseOnCancel = context.AfterFunc(a.ctx, func() { c.Close() })
	return true
}

// idleConn returns an idle connection, or nil. A request that must not be repeated always gets a new connection: if
// the upstream closed an idle one as the request was sent, it would be unknown whether the request ran.
func (a *attempt) idleConn() *conn {
	if !a.req.Repeatable || a.conn != nil {
		return nil
	}
	return a.runner.pool.get(a.addr, a.startedAt)
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

// closeConn closes the connection and adds the bytes sent on it to the attempt's result.
func (a *attempt) closeConn() {
	if a.conn == nil {
		return
	}
	a.result.sentBytes += a.conn.sentBytes.Swap(0)
	a.stopCloseOnCancel()
	a.conn.Close()
}

// keepConn returns the connection to the pool. The response must have been read to its end.
func (a *attempt) keepConn() {
	a.result.sentBytes += a.conn.sentBytes.Swap(0)
	reusable := a.stopCloseOnCancel() && !a.response.Close
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
