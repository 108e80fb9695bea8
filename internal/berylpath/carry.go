package berylpath

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylroute"
)

const (
	// maxTunnels bounds the connections that a host carries for others. Each takes about 100 KB.
	maxTunnels = 256
	// tunnelBuffer is the size of the buffer for one direction of a tunnel, in bytes.
	tunnelBuffer = 8 << 10
	// drainPollInterval is the time between two looks whether tunnels have ended.
	drainPollInterval = 20 * time.Millisecond
)

// tunnelServer carries connections for other hosts.
type tunnelServer struct {
	paths    *Paths
	active   atomic.Int64
	stopping atomic.Bool
}

// Drain refuses new tunnels from now on and waits until those that are open have ended or ctx ends.
func (p *Paths) Drain(ctx context.Context) {
	p.tunnels.stopping.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for p.tunnels.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// HandleTunnel carries a connection for the host peer until either side ends it.
func (p *Paths) HandleTunnel(ctx context.Context, peer string, request Request, accept func() (Stream, error)) error {
	t := &p.tunnels
	defer t.active.Add(-1)
	n := t.active.Add(1)
	stream, err := accept()
	if err != nil {
		return err
	}
	conn, v := t.open(ctx, n, request)
	if _, err := stream.Write([]byte{byte(v)}); err != nil || v != tunnelOpen {
		if conn != nil {
			_ = conn.Close() // nothing was sent
		}
		// The peer ends the stream when it has read the verdict. To end it here could overtake the verdict.
		_, _ = io.Copy(io.Discard, stream)
		return err
	}
	began := time.Now()
	t.carry(stream, &fullDuplexConn{Conn: conn}, request.Upstream)
	p.Log.WithField("upstream", request.Upstream).WithField("for", peer).WithField("total-ms", time.Since(began).Milliseconds()).Info("path: carried a connection")
	return nil
}

// open opens the connection for the n-th tunnel.
func (t *tunnelServer) open(ctx context.Context, n int64, request Request) (net.Conn, verdict) {
	upstream, known := t.paths.Upstreams.All()[request.Upstream]
	switch {
	case t.stopping.Load() || n > maxTunnels:
		return nil, carrierBusy
	case t.paths.State() == Isolated:
		return nil, carrierIsolated
	case !known || upstream.Address != request.Address:
		return nil, upstreamUnknown
	case upstream.Leaving:
		return nil, upstreamLeaving
	}
	return t.connect(ctx, upstream)
}

func (t *tunnelServer) connect(ctx context.Context, upstream berylroute.Upstream) (net.Conn, verdict) {
	conn, err := t.paths.connect(ctx, upstream)
	if err == nil {
		return conn, tunnelOpen
	}
	if t.paths.State() != Reachable {
		return nil, carrierIsolated
	}
	return nil, upstreamUnreachable
}

// carry copies bytes in both directions. If the upstream ends its side, so does the tunnel; if the connection or the tunnel
// breaks, so does the other.
func (t *tunnelServer) carry(stream Stream, conn net.Conn, upstream string) {
	peerEnded := make(chan struct{})
	go func() {
		defer close(peerEnded)
		_ = copyBytes(conn, stream, func() {}) // either way the tunnel is over
		_ = conn.Close()
	}()
	if err := copyBytes(stream, conn, func() { t.paths.progress(time.Now(), upstream) }); err == nil {
		if stream.CloseWrite() == nil {
			<-peerEnded
			return
		}
	}
	stream.Abort()
	_ = conn.Close()
	<-peerEnded
}

// copyBytes copies until the source ends, and calls received for each part.
func copyBytes(to io.Writer, from io.Reader, received func()) error {
	buffer := make([]byte, tunnelBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			received()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF { //nolint:errorlint // A wrapped io.EOF is not the regular end of the stream.
			return nil
		}
		if err != nil {
			return err
		}
	}
}
