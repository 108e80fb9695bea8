package berylgate

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylcall"
	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylonce"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylstream"
)

const (
	// maxHeaderBytes bounds a request's first line and headers together.
	maxHeaderBytes = 8 << 10
	writeBuffer    = 4 << 10
	maxConnections = 4 << 10

	defaultReadTimeout   = 20 * time.Second
	defaultMaxConcurrent = 2048
	defaultBodyBudget    = 32 << 20

	idleTimeout = 2 * time.Minute
	// writeTimeout bounds a whole answer, and each gap of a streamed one.
	writeTimeout = time.Minute
)

// Calls carries requests to upstreams.
type Calls interface {
	// Do makes one call and returns how it ended, at the latest soon after ctx or the request's deadline ends.
	Do(ctx context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result
}

// Limits admits or refuses callers' requests.
type Limits interface {
	// Take uses up the caller's limits for one request; release is called when the request has ended.
	Take(ctx context.Context, caller *berylconf.Caller, tokens int) (release func(), refusal *beryloutcome.Refusal)
}

// Config says what a gate works with; Document and Calls must be set.
type Config struct {
	// Host names this host in request ids.
	Host string
	// Boot tells one run of this host from the next in request ids.
	Boot uint64
	// Document returns the configuration in force, or nil when there is none yet.
	Document func() *berylconf.Document
	// Calls carries requests to upstreams.
	Calls Calls
	// Idempotency keeps keyed requests; nil refuses them as not run.
	Idempotency berylonce.Deduplicator
	// Limits holds callers to their limits; nil holds them to none.
	Limits Limits
	// Ready reports whether this host can serve; nil means always.
	Ready func() bool
	// Metrics takes the gate's metrics; nil drops them.
	Metrics *metrics.Set
	// Log takes changes of state; nil drops them.
	Log logrus.FieldLogger
	// Mount registers further routes, which run after authentication; their handlers use CallerOf, RequestIDOf and Refuse.
	// The body is whole by then and within the rules' max-body-bytes, and their Context ends with the request's deadline.
	Mount func(fiber.Router)
	// ReadTimeout bounds the arrival of one whole request; zero is 20 s.
	ReadTimeout time.Duration
	// MaxConcurrent bounds the requests in flight on this host; zero is 2,048.
	MaxConcurrent int
	// BodyBudget bounds the bytes of all request bodies held at one time; zero is 32 MiB.
	BodyBudget int64
	// BalancerNotice is how long a planned stop keeps serving after it has become unready.
	BalancerNotice time.Duration
}

// Gate serves callers' HTTP.
type Gate struct {
	config      Config
	indexes     configIndexCache
	server      *fasthttp.Server
	peers       berylstream.DisconnectWatcher
	metrics     *requestMetrics
	baseContext context.Context
	cancel      context.CancelFunc
	streams     conc.WaitGroup
	background  conc.WaitGroup
	startWatch  sync.Once
	bodyBytes   atomic.Int64
	sequence    atomic.Uint64
	inFlight    atomic.Int64
	stopping    atomic.Bool
}

// New returns a gate that serves nothing yet.
func New(config Config) *Gate {
	if config.ReadTimeout == 0 {
		config.ReadTimeout = defaultReadTimeout
	}
	if config.MaxConcurrent == 0 {
		config.MaxConcurrent = defaultMaxConcurrent
	}
	if config.BodyBudget == 0 {
		config.BodyBudget = defaultBodyBudget
	}
	if config.Log == nil {
		config.Log = discardLog()
	}
	g := &Gate{config: config}
	g.baseContext, g.cancel = context.WithCancel(context.Background())
	g.metrics = newRequestMetrics(config.Metrics, func() float64 { return float64(g.inFlight.Load()) })
	g.server = &fasthttp.Server{
		Handler:                      g.routes().Handler(),
		ErrorHandler:                 g.protocolError,
		Logger:                       discardLog(),
		Concurrency:                  maxConnections,
		ReadBufferSize:               maxHeaderBytes,
		WriteBufferSize:              writeBuffer,
		ReadTimeout:                  config.ReadTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idleTimeout,
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
	}
	return g
}

// routes returns the application with all routes in place.
func (g *Gate) routes() *fiber.App {
	app := fiber.New(fiber.Config{CaseSensitive: true, StrictRouting: true})
	app.Use(g.handleExchange)
	app.Get("/livez", g.handleLive)
	app.Get("/readyz", g.handleReady)
	app.Use(g.authenticate)
	app.Post("/v1/chat/completions", g.modelRoute("chat", "messages"))
	app.Post("/v1/completions", g.modelRoute("completions", "prompt"))
	app.Get("/v1/models", g.listModels)
	app.Get("/v1/models/*", g.getModel)
	app.All("/services/*", g.serveService)
	if g.config.Mount != nil {
		app.Use(g.admitMounted)
		g.config.Mount(app)
	}
	return app
}

// Serve answers callers on the listener until Shutdown, and returns the listener's error if it fails before.
func (g *Gate) Serve(listener net.Listener) error {
	g.startWatch.Do(func() {
		g.background.Go(func() { g.peers.Run(g.baseContext) })
	})
	return g.server.Serve(listener)
}

// Shutdown stops as planned: it becomes unready, serves on for the notice time, then lets what runs finish.
// When ctx ends first, the calls still in flight are cancelled and ctx's error is returned.
func (g *Gate) Shutdown(ctx context.Context) error {
	defer g.background.Wait()
	defer g.cancel()
	g.stopping.Store(true)
	g.config.Log.Info("gate: stopping, unready from now")
	notice := time.NewTimer(g.config.BalancerNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	err := g.server.ShutdownWithContext(ctx)
	if err != nil {
		g.cancel()
	}
	g.streams.Wait()
	g.config.Log.Info("gate: stopped")
	return err
}

func (g *Gate) handleLive(c fiber.Ctx) error {
	return c.SendString("live\n")
}

func (g *Gate) handleReady(c fiber.Ctx) error {
	if g.stopping.Load() || !g.isReady() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (g *Gate) isReady() bool {
	if g.config.Document() == nil {
		return false
	}
	return g.config.Ready == nil || g.config.Ready()
}

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
