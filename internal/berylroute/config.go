package berylroute

import (
	"hash/maphash"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"berylroad.example/berylroad/internal/berylaccount"
)

// Kind says how a route's requests are answered and whether they may be repeated.
type Kind uint8

const (
	// Unsafe requests run at most once. It is the zero value because it is the most cautious kind.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered by a stream of events. They run at most once unless they may be resumed.
	Streaming
	// Batch requests are jobs of many items that run later.
	Batch
)

// String returns the name used in metrics.
func (k Kind) String() string {
	return [...]string{"unsafe", "safe", "streaming", "batch"}[k]
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	// Service is the Name of the service.
	Service string
	// Weight is the weight of the share relative to the sum of all weights.
	Weight float64
}

// Route says where requests go and how they are handled.
type Route struct {
	// Name is unique among the routes.
	Name string
	// Host is the host name in the requests' Host header.
	Host string
	// Prefix is the prefix of the requests' paths. It begins and ends with a slash.
	Prefix string
	// Kind says how requests are answered and whether they may be repeated.
	Kind Kind
	// Resumable marks streams that another upstream may continue.
	Resumable bool
	// Shares are the services that serve the route.
	Shares []Share
	// MaxAttempts is the largest number of upstreams that may run one request; zero means one.
	MaxAttempts int
	// Timeout is the longest time until a request gets its final answer.
	Timeout time.Duration
	// FirstEventTarget is the time within which an answer or, for a stream, its first event has to arrive to count
	// as on time.
	FirstEventTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream that is on time.
	EventGapTarget time.Duration
	// Priority ranks the route; 0 is the highest priority.
	Priority int
	// CompletionTarget is the time from a job's submission until all its results are due.
	CompletionTarget time.Duration
	// Retention is the time from a job's submission after which items may be given up.
	Retention time.Duration
	// MaxWaitingTokens bounds the tokens of all waiting items of the route, of each account if there are accounts; zero means
	// no limit.
	MaxWaitingTokens int64
	// Public marks a route whose requests need no API key.
	Public bool
}

// PriorityOf returns the priority of an account's requests on the route; a nil account has the route's. It is never negative.
func (r *Route) PriorityOf(account *berylaccount.Account) int {
	if account != nil {
		return account.Priority
	}
	return max(r.Priority, 0)
}

// Repeatable reports whether a request may run on a second upstream after a first one may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// MayResume reports whether a caller may take up a stream after some of its events.
func (r *Route) MayResume() bool {
	return r.Kind == Streaming && r.Resumable
}

// Services returns the services to which the route's requests may go, each once.
func (r *Route) Services() []string {
	var services []string
	for _, s := range r.Shares {
		if (s.Weight > 0 || len(r.Shares) == 1) && !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	return services
}

// Attempts returns on how many upstreams one request may run.
func (r *Route) Attempts() int {
	return max(r.MaxAttempts, 1)
}

// Service returns the service for the request with the given ID. Within one process, the same ID always gets the same
// service.
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

// splitSteps is the resolution with which requests are split over a route's services.
const splitSteps = 1 << 20

var splitSeed = maphash.MakeSeed()

// Service is a group of upstreams that serve the same requests.
type Service struct {
	// Name is unique among the services.
	Name string
	// MaxConnections is how many connections one upstream accepts from all hosts together; zero means no limit.
	MaxConnections int
	// Slots is how many requests one upstream runs at once if the upstream does not announce a number.
	Slots int
}

// Limits bounds what a caller may send.
type Limits struct {
	// BodyBytes is the largest size of a request body; zero means no limit.
	BodyBytes int
	// HeaderBytes is the largest size of the head of a request; zero means no limit.
	HeaderBytes int
}

// Config is one version of the operators' configuration of routes and services.
type Config struct {
	// Version increases with each change that the operators make.
	Version int64
	// Routes are all routes. Of routes with the same host and prefix, Match returns the first.
	Routes []Route
	// Services are all services by name.
	Services map[string]Service
	// Limits bounds what a caller may send.
	Limits Limits
	// Accounts are the client accounts; nil means that requests need no API key.
	Accounts *berylaccount.Directory

	once   sync.Once
	byHost map[string][]*Route // routes by host name in lower case, longest prefix first
	byName map[string]*Route
}

// Match returns the route for a host name and path, or nil. It ignores a port in the host name.
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

// Named returns the route of that name, or nil.
func (c *Config) Named(name string) *Route {
	c.once.Do(c.index)
	return c.byName[name]
}

func (c *Config) index() {
	c.byHost, c.byName = make(map[string][]*Route), make(map[string]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byName[r.Name] = r
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// CurrentConfig holds the newest configuration that this host has received. Its zero value holds none.
type CurrentConfig struct {
	// State returns how far the configuration can be relied on; nil means that it is always current.
	State func() CopyState

	config atomic.Pointer[Config]
	inUse  atomic.Pointer[Acceptance]
}

// Get returns the current configuration, or nil if there is none yet.
func (c *CurrentConfig) Get() *Config {
	return c.config.Load()
}

// Copy returns the current configuration and how far it can be relied on.
func (c *CurrentConfig) Copy() Copy {
	// The state is read before the configuration, which is then at least as new as the state says.
	current := Copy{CopyState: CopyState{Through: math.MaxInt64}}
	if c.State != nil {
		current.CopyState = c.State()
	}
	if inUse := c.inUse.Load(); inUse != nil {
		current.inUse = *inUse
	}
	current.Config = c.config.Load()
	return current
}

// RecordUse records that another host has accepted work under a configuration, which this host may not have received yet.
func (c *CurrentConfig) RecordUse(accepted Acceptance) {
	for {
		old := c.inUse.Load()
		if accepted.Version == 0 || old != nil && old.Version >= accepted.Version {
			return
		}
		if c.inUse.CompareAndSwap(old, &accepted) {
			return
		}
	}
}

// Install replaces the configuration unless the current one has the same or a later version. It reports whether it
// did.
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
