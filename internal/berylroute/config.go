package berylroute

import (
	"hash/maphash"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

const (
	// Unsafe requests run at most once; it is the zero value because it promises least.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a series of events and run at most once, unless they may be resumed.
	Streaming
	// Batch requests are jobs of many items that run later.
	Batch
)

// String returns the name used in metrics.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "streaming", "batch"}[k]
}

// Share is one service's part of a route's requests.
type Share struct {
	// Service names it.
	Service string
	// Weight is its part of the sum of all weights.
	Weight float64
}

// Route says where requests go and how they are to be treated.
type Route struct {
	// Name is unique among the routes.
	Name string
	// Host is the host name that requests bear.
	Host string
	// Prefix begins the paths of the requests; it begins and ends with a slash.
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Resumable marks streams that another upstream may go on with.
	Resumable bool
	// Shares are the services that serve the route.
	Shares []Share
	// MaxAttempts is the most upstreams that may run one request; zero is one.
	MaxAttempts int
	// Timeout is the longest time until a request has its final answer.
	Timeout time.Duration
	// FirstEventTarget is the time within which an answer, of a stream the first event, is worth its full credit.
	FirstEventTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream that is on time.
	EventGapTarget time.Duration
	// Priority ranks the route; 0 goes first.
	Priority int
	// CompletionTarget is the time from a job's submission until all its results are due.
	CompletionTarget time.Duration
	// Retention is the time from a job's submission after which items may be given up.
	Retention time.Duration
	// MaxWaitingTokens bounds the tokens of all waiting items of the route; zero is no bound.
	MaxWaitingTokens int64
}

// Repeatable says whether a request may run on a second upstream after one that may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Attempts returns on how many upstreams one request may run.
func (r *Route) Attempts() int {
	return max(r.MaxAttempts, 1)
}

// Service returns the service that the request of that ID goes to; the same ID always goes to the same one.
func (r *Route) Service(id string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := float64(maphash.String(splitSeed, id)%splitSteps) / splitSteps * total
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// splitSteps is how finely requests are split over a route's services.
const splitSteps = 1 << 20

var splitSeed = maphash.MakeSeed()

// Service is a group of upstreams that serve the same.
type Service struct {
	// Name is unique among the services.
	Name string
	// MaxConnections is how many connections one upstream takes from all hosts together; zero is no bound.
	MaxConnections int
	// Slots is how many requests one upstream runs at once, where it does not say so itself.
	Slots int
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is the largest request body; zero is no bound.
	BodyBytes int
	// HeaderBytes is the largest head of a request; zero is no bound.
	HeaderBytes int
}

// Config is one version of the operators' routes.
type Config struct {
	// Version grows with each change that the operators make.
	Version int64
	// Routes are all routes.
	Routes []Route
	// Services are all services by name.
	Services map[string]Service
	// Limits bound what a caller may send.
	Limits Limits

	once   sync.Once
	byHost map[string][]*Route // longest prefix first
}

// Match returns the route of a host name and path, or nil; a port in the host name is passed over.
func (c *Config) Match(host, path string) *Route {
	c.once.Do(c.index)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func (c *Config) index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// CurrentConfig holds the newest configuration that this host has seen; its zero value holds none.
type CurrentConfig struct {
	config atomic.Pointer[Config]
}

// Get returns the configuration in force, or nil before the first.
func (c *CurrentConfig) Get() *Config {
	return c.config.Load()
}

// Install puts a configuration in force, unless one of the same or a later version is; it reports whether it did.
func (c *CurrentConfig) Install(config *Config) bool {
	for {
		old := c.config.Load()
		if old != nil && old.Version >= config.Version {
			return false
		}
		if c.config.CompareAndSwap(old, config) {
			return true
		}
	}
}
