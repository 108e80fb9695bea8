package berylpath

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylroute"
)

const (
	// maxCarrierTries is how many hosts are asked to carry one connection.
	maxCarrierTries = 8
	// maxCarried bounds the connections that other hosts carry for this one. What has arrived on each but is not read takes up to 100 KB.
	maxCarried = 512
	// carryTimeout bounds the time in which a host is found that carries a connection.
	carryTimeout = 1500 * time.Millisecond
	// carrierTimeout bounds the time that one host may take. It leaves the host time for its own attempt to connect.
	carrierTimeout = ConnectTimeout + 200*time.Millisecond
)

// Stream is a stream of bytes to another host.
type Stream interface {
	io.ReadWriter
	// CloseWrite tells the other host that everything has been written.
	CloseWrite() error
	// Abort ends the stream in both directions. The other host sees an error unless it has read up to CloseWrite.
	Abort()
}

// Request asks a host to open a connection to an upstream and to carry its bytes.
type Request struct {
	// Upstream is the ID of the upstream and Address its address. The host must know both.
	Upstream string `cbor:"1,keyasint"`
	Address  string `cbor:"2,keyasint"`
}

// Carrier is a host that may carry connections.
type Carrier struct {
	// Host is the host's name.
	Host string
	// FailureDomain is the failure domain in which it runs.
	FailureDomain string
}

// Carriers reaches the other hosts.
type Carriers interface {
	// Carriers lists the live hosts without this one and those that are about to stop.
	Carriers() []Carrier
	// Open opens a stream to a host, whose HandleTunnel gets the request.
	Open(ctx context.Context, host string, request Request) (Stream, error)
}

// verdict is the first byte that a host sends on a tunnel.
type verdict byte

const (
	// tunnelOpen is followed by the bytes of the connection.
	tunnelOpen verdict = iota + 1
	// carrierIsolated says that the host does not reach upstreams either.
	carrierIsolated
	// carrierBusy says that the host carries as many connections as it may or is about to stop.
	carrierBusy
	// upstreamUnknown says that the host does not know the upstream, or under another address.
	upstreamUnknown
	// upstreamLeaving says that the host knows that the upstream leaves.
	upstreamLeaving
	// upstreamUnreachable says that the host could not connect to the upstream though it reaches others.
	upstreamUnreachable
)

// String returns the text used in errors and logs.
func (v verdict) String() string {
	switch v {
	case tunnelOpen:
		return "open"
	case carrierIsolated:
		return "the host is isolated too"
	case carrierBusy:
		return "the host carries no more connections"
	case upstreamUnknown:
		return "the host does not know the upstream"
	case upstreamLeaving:
		return "the upstream leaves"
	case upstreamUnreachable:
		return "the host can't connect to the upstream"
	default:
		return "unknown verdict"
	}
}

// isFinal reports whether another host would not help either.
func (v verdict) isFinal() bool {
	return v == upstreamLeaving || v == upstreamUnreachable
}

// carry opens a connection to an upstream through another host and returns that host's name.
func (p *Paths) carry(ctx context.Context, upstream berylroute.Upstream) (net.Conn, string, error) {
	if p.carried.Add(1) > maxCarried {
		p.carried.Add(-1)
		return nil, "", errors.Wrap(ErrNoPath, "as many connections are carried for this host as it may have")
	}
	stream, host, err := p.openCarried(ctx, upstream)
	if err != nil {
		p.carried.Add(-1)
		return nil, host, err
	}
	release := sync.OnceFunc(func() { p.carried.Add(-1) })
	return &tunnelConn{Stream: stream, release: release, host: host, upstream: upstream.Address}, host, nil
}

// openCarried opens a tunnel through the first host that carries a connection to the upstream, and returns that host's name.
func (p *Paths) openCarried(ctx context.Context, upstream berylroute.Upstream) (Stream, string, error) {
	ctx, cancel := context.WithTimeout(ctx, carryTimeout)
	defer cancel()
	err := ErrNoPath
	for _, c := range p.carriers.order(time.Now(), p.Carriers.Carriers(), upstream.FailureDomain) {
		stream, v, openErr := p.openTunnel(ctx, c.Host, upstream)
		if openErr == nil && v == tunnelOpen {
			p.carriers.succeeded(time.Now(), c.Host)
			return stream, c.Host, nil
		}
		if openErr == nil {
			openErr = errors.Newf("%s: %s", c.Host, v)
		}
		if v.isFinal() {
			return nil, c.Host, openErr
		}
		if ctx.Err() != nil {
			return nil, "", errors.Mark(openErr, ErrNoPath)
		}
		p.carriers.failed(time.Now(), c.Host)
		p.Log.WithError(openErr).WithFields(logrus.Fields{"upstream": upstream.ID, "host": c.Host}).Debug("path: not carried")
		err = errors.Mark(openErr, ErrNoPath)
	}
	return nil, "", err
}

// openTunnel asks one host to carry a connection. The stream is nil unless the verdict is tunnelOpen.
func (p *Paths) openTunnel(ctx context.Context, host string, upstream berylroute.Upstream) (Stream, verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, carrierTimeout)
	defer cancel()
	stream, err := p.Carriers.Open(ctx, host, Request{Upstream: upstream.ID, Address: upstream.Address})
	if err != nil {
		return nil, 0, errors.Wrap(err, "tunnel")
	}
	stop := context.AfterFunc(ctx, stream.Abort)
	var answer [1]byte
	_, err = io.ReadFull(stream, answer[:])
	if err == nil && !stop() {
		err = ctx.Err()
	}
	if err != nil {
		stop()
		stream.Abort()
		return nil, 0, errors.Wrap(err, "tunnel")
	}
	v := verdict(answer[0])
	if v != tunnelOpen {
		stream.Abort()
		return nil, v, nil
	}
	return stream, v, nil
}

// tunnelConn is a connection to an upstream that another host carries.
type tunnelConn struct {
	Stream
	release        func()
	host, upstream string
}

var _ net.Conn = (*tunnelConn)(nil)

// Close ends the connection; the host that carries it resets it if the upstream has not ended it.
func (c *tunnelConn) Close() error {
	c.Abort()
	c.release()
	return nil
}

// LocalAddr returns the host that carries the connection.
func (c *tunnelConn) LocalAddr() net.Addr { return tunnelAddr(c.host) }

// RemoteAddr returns the upstream's address.
func (c *tunnelConn) RemoteAddr() net.Addr { return tunnelAddr(c.upstream) }

// SetDeadline is not supported; calls end by Close.
func (c *tunnelConn) SetDeadline(time.Time) error { return errors.WithStack(errors.ErrUnsupported) }

// SetReadDeadline is not supported; calls end by Close.
func (c *tunnelConn) SetReadDeadline(time.Time) error { return errors.WithStack(errors.ErrUnsupported) }

// SetWriteDeadline is not supported; calls end by Close.
func (c *tunnelConn) SetWriteDeadline(time.Time) error {
	return errors.WithStack(errors.ErrUnsupported)
}

// tunnelAddr is the name of an end of a tunnel.
type tunnelAddr string

// Network implements net.Addr.
func (tunnelAddr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a tunnelAddr) String() string { return string(a) }
