package berylwire

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sourcegraph/conc"
)

const (
	protocol          = "berylroad/1"
	defaultMaxFrame   = 2 << 20
	defaultMaxPerKind = 4096
	maxStreamsPerConn = 4096
	maxIncomingConns  = 2048
	handshakeTimeout  = 2 * time.Second
	connIdleTimeout   = 3 * time.Second
	keepAliveInterval = time.Second
	unusedConnTimeout = 10 * time.Second
	sweepInterval     = time.Second
	frameTimeout      = 10 * time.Second
	closeCode         = quic.ApplicationErrorCode(0)
	cancelCode        = quic.StreamErrorCode(1)
	refusedFrameCode  = quic.StreamErrorCode(2)
	// streamWindow is how many bytes of a stream a peer may send before they are read. It does not grow, since streams of carried calls
	// may stay unread.
	streamWindow = 64 << 10
	// connWindow is the same for all streams of a connection. It exceeds the windows of all streams that may stay unread, so that these
	// don't hold back the others.
	connWindow = 32 << 20
)

// Credentials prove the host's name to peers and verify the names of peers.
type Credentials interface {
	// ServerConfig returns a TLS configuration that requires each client to have a certificate issued by the fleet's CA.
	ServerConfig(protocol string) *tls.Config
	// ClientConfig returns a TLS configuration for one connection to the named peer.
	ClientConfig(peer, protocol string) *tls.Config
	// ResetKey returns the secret for QUIC's stateless resets, which must stay the same across restarts.
	ResetKey() [sha256.Size]byte
}

// Config describes an endpoint. Numbers that are zero stand for their defaults.
type Config struct {
	// Name is the host's own name.
	Name string
	// Address is the IP address and UDP port to listen on; port 0 takes a free one.
	Address string
	// Credentials prove the host's name to peers and verify the names of peers.
	Credentials Credentials
	// MaxFrameBytes is the largest size of a request or an answer.
	MaxFrameBytes int
	// MaxConcurrentPerKind is how many requests of one kind are handled at once.
	MaxConcurrentPerKind int
	// Metrics receives the counters; nil keeps them private to the endpoint.
	Metrics *metrics.Set
}

// Peer is the name and address of another host.
type Peer struct {
	// Name is the host's name, which must be in its certificate.
	Name string
	// Address is its IP address and UDP port.
	Address string
}

// Endpoint sends requests to peers and handles theirs over one UDP socket.
type Endpoint struct {
	config         Config
	codec          codec
	transport      *quic.Transport
	listener       *quic.Listener
	quic           *quic.Config
	handlers       map[string]*handler
	duplexHandlers map[string]duplexHandler
	pool           pool
	countersByKind sync.Map // maps the kind of a request to its *callCounters
	dials          conc.WaitGroup
	ctx            context.Context // cancelled by Close, which ends the dials in flight
	cancel         context.CancelFunc
	closeOnce      sync.Once
}

// Listen opens the socket. Register handlers before calling Serve.
func Listen(config Config) (*Endpoint, error) {
	if config.MaxFrameBytes == 0 {
		config.MaxFrameBytes = defaultMaxFrame
	}
	if config.MaxConcurrentPerKind == 0 {
		config.MaxConcurrentPerKind = defaultMaxPerKind
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	codec, err := newCodec()
	if err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	e := &Endpoint{
		config:   config,
		codec:    codec,
		quic:     quicConfig(),
		handlers: map[string]*handler{},

		duplexHandlers: map[string]duplexHandler{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	config.Metrics.NewGauge("berylroad_wire_connections", func() float64 { return float64(e.Connections()) })
	resetKey := quic.StatelessResetKey(config.Credentials.ResetKey())
	e.transport = &quic.Transport{Conn: socket, StatelessResetKey: &resetKey}
	e.listener, err = e.transport.Listen(config.Credentials.ServerConfig(protocol), e.quic)
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "listen for peers")
	}
	return e, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       handshakeTimeout,
		MaxIdleTimeout:             connIdleTimeout,
		KeepAlivePeriod:            keepAliveInterval,
		MaxIncomingStreams:         maxStreamsPerConn,
		MaxIncomingUniStreams:      -1,
		InitialStreamReceiveWindow: streamWindow,
		MaxStreamReceiveWindow:     streamWindow,
		// Both are set, as the window of a connection adapts to how fast its bytes are read.
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     connWindow,
		DisablePathMTUDiscovery:        true,
	}
}

// Name returns the host's own name.
func (e *Endpoint) Name() string {
	return e.config.Name
}

// Addr returns the IP address and UDP port that the endpoint listens on.
func (e *Endpoint) Addr() string {
	return e.transport.Conn.LocalAddr().String()
}

// Connections returns the number of connections to peers that this endpoint keeps, including those being established.
func (e *Endpoint) Connections() int {
	return e.pool.count()
}

// Serve handles the requests of peers until the context ends or Close is called, then closes the endpoint.
func (e *Endpoint) Serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() { e.accept(ctx) })
	tasks.Go(func() { e.sweep(ctx) })
	select {
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	cancel()
	e.Close()
	tasks.Wait()
}

// Close ends all connections and closes the socket. Calls in flight fail with the fault Lost.
func (e *Endpoint) Close() {
	e.closeOnce.Do(func() {
		e.cancel()
		_ = e.listener.Close()
		e.pool.closeAll()
		_ = e.transport.Close()
		_ = e.transport.Conn.Close()
		e.dials.Wait()
	})
}

// sweep closes connections that have not been used for unusedConnTimeout.
func (e *Endpoint) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.pool.dropIdle(now.Add(-unusedConnTimeout))
		}
	}
}
