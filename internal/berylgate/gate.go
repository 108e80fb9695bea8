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
	"berylroad.example/berylroad/internal/beryldrain"
	"berylroad.example/berylroad/internal/berylintake"
	"berylroad.example/berylroad/internal/berylonce"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylstream"
)

const (
	// maxHeaderBytes bounds a request's first line and headers together, in bytes.
	maxHeaderBytes = 8 << 10
	// writeBuffer is the size of a connection's write buffer, in bytes.
	writeBuffer    = 4 << 10
	maxConnections = 4 << 10

	defaultReadTimeout   = 20 * time.Second
	defaultMaxConcurrent = 2048
	defaultBodyBudget    = 32 << 20

	// idleTimeout is how long a connection stays open between two requests.
	idleTimeout = 2 * time.Minute
	// finalAnswerTime is how long the callers of requests that are cut at the end of a planned stop have to read their answers.
	finalAnswerTime = 300 * time.Millisecond
	// writeTimeout bounds the writing of a plain answer, and the time between two writes of a streamed one.
	writeTimeout = time.Minute
)

// Calls sends requests to upstreams.
type Calls interface {
	// Do makes one call, writes its answer to sink and returns how it ended. It returns soon after the end of ctx or of the
	// request's deadline.
	Do(ctx context.Context, request berylcall.Request, sink berylcall.Sink) beryloutcome.Result
}

// Limits enforces the limits of client accounts.
type Limits interface {
	// Take counts one request against the caller's limits, or refuses it. The gate calls release once the request has ended.
	Take(ctx context.Context, caller *berylconf.Caller, tokens int) (release func(), refusal *beryloutcome.Refusal)
}

// Config configures a Gate; Document and Calls must be set.
type Config struct {
	// Host is this host's name, which is part of request ids.
	Host string
	// Boot identifies this run of the host's process in request ids.
	Boot uint64
	// Document returns the configuration in force, or nil if there is none yet.
	Document func() *berylconf.Document
	// Calls sends requests to upstreams.
	Calls Calls
	// Idempotency records keyed requests and replays their answers; if nil, keyed requests are refused as not run.
	Idempotency berylonce.Deduplicator
	// Limits enforces the callers' limits; nil means no limits.
	Limits Limits
	// Ready reports whether this host can serve; nil means always.
	Ready func() bool
	// Metrics receives the gate's metrics; nil discards them.
	Metrics *metrics.Set
	// Log receives the start and end of a planned stop and the panics of handlers; nil discards them.
	Log logrus.FieldLogger
	// Mount registers further routes, whose handlers run after authentication and may use CallerOf, RequestIDOf and Refuse.
	// By then the body has been read completely and is within the configured max-body-bytes. The handlers' Context ends with
	// the request's deadline.
	Mount func(fiber.Router)
	// ReadTimeout bounds the time in which a whole request must arrive; zero means 20 s.
	ReadTimeout time.Duration
	// MaxConcurrent bounds the requests in flight on this host; zero means 2,048.
	MaxConcurrent int
	// BodyBudget bounds the memory for the request bodies of all requests in flight, in bytes; zero means 32 MiB.
	BodyBudget int64
	// BalancerNotice is how long a planned stop keeps serving after the host has become unready, so that load balancers
	// notice.
	BalancerNotice time.Duration
}

// Gate is the HTTP server for callers.
type Gate struct {
	config  Config
	indexes configIndexCache
	server  *fasthttp.Server
	// disconnects cancels calls whose caller closes the connection.
	disconnects berylstream.DisconnectWatcher
	metrics     *requestMetrics
	// baseContext is the parent of the contexts of all requests; cancel ends it.
	baseContext context.Context
	cancel      context.CancelFunc
	// streams waits for the goroutines of streamed answers.
	streams    conc.WaitGroup
	background conc.WaitGroup
	startWatch sync.Once
	// intake bounds the connections and the memory of bodies.
	intake *berylintake.Intake
	// sequence is the number in the last request id.
	sequence atomic.Uint64
	inFlight atomic.Int64
	stopping atomic.Bool
	stop     beryldrain.Stop
}

// New returns a gate that serves nothing until Serve is called.
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
	g.intake = newIntake(config)
	g.server = &fasthttp.Server{
		Handler:                      g.routes().Handler(),
		ErrorHandler:                 g.protocolError,
		ConnState:                    connChanged,
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

// routes returns the application with its handlers; those that follow authenticate need an API key.
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

// Serve serves callers on the listener until Shutdown is called. It returns an error if the listener fails before that.
func (g *Gate) Serve(listener net.Listener) error {
	g.startWatch.Do(func() {
		g.background.Go(func() { g.disconnects.Run(g.baseContext) })
		g.background.Go(func() { g.intake.Run(g.baseContext) })
	})
	return g.server.Serve(g.intake.NewListener(&berylstream.Listener{Listener: listener, Log: g.config.Log}, maxConnections))
}

// Shutdown performs a planned stop: the host becomes unready, keeps serving for Config.BalancerNotice, then accepts no
// more requests but those that finish before ctx ends, and waits for those in flight. If ctx ends first, Shutdown cancels the
// calls in flight, lets their callers know, and returns ctx's error.
func (g *Gate) Shutdown(ctx context.Context) error {
	defer g.background.Wait()
	defer g.cancel()
	g.stopping.Store(true)
	g.config.Log.Info("gate: stopping, no longer ready")
	if end, bounded := ctx.Deadline(); bounded {
		g.stop.Begin(time.Now().Add(g.config.BalancerNotice), end)
	}
	notice := time.NewTimer(g.config.BalancerNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	defer context.AfterFunc(ctx, g.cancel)()
	final, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finalAnswerTime, cancel) })()
	err := g.server.ShutdownWithContext(final)
	if ctx.Err() != nil {
		err = ctx.Err()
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
