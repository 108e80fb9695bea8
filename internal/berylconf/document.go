package berylconf

import (
	"slices"
	"time"
)

// Duration is a time.Duration that is written in JSON as a string such as "250ms" or "1h30m".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText returns the duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(duration)
	return nil
}

// Document is one complete configuration. The platform's key-value service stores the newest revision.
type Document struct {
	// Revision increases with every accepted change.
	Revision int64 `json:"revision"`
	// Inventory describes the fleet.
	Inventory Inventory `json:"inventory"`
	// Rules control routing, timeouts and limits, and list the leaving hosts and upstreams.
	Rules Rules `json:"rules"`
}

// Inventory lists the hosts, upstreams, services and callers of the fleet, as in the operators' asset register.
type Inventory struct {
	// Hosts are berylroad's own hosts.
	Hosts []Host `json:"hosts"`
	// Upstreams are the replicas of model engines and plain services.
	Upstreams []Upstream `json:"upstreams"`
	// Services are the plain (not model) services whose replicas are upstreams without models.
	Services []Service `json:"services,omitempty"`
	// Callers are the accounts that may send requests.
	Callers []Caller `json:"callers"`
}

// Host is one of berylroad's own hosts.
type Host struct {
	// Name is unique in the fleet and equals the name in the host's certificate.
	Name string `json:"name"`
	// Region is the region in which the host runs. An upstream is owned by a host of its own region if one is available.
	Region string `json:"region"`
	// FailureDomain is the failure domain in which the host runs: the machines that one fault can take down together.
	FailureDomain string `json:"failure-domain"`
	// PeerAddress is the IP address and UDP port on which the host serves its peers.
	PeerAddress string `json:"peer-address"`
}

// Upstream is one replica of a model engine or a plain service.
type Upstream struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// URL is the base URL of its HTTP endpoint, without a path.
	URL string `json:"url"`
	// Region is the region in which the upstream runs; see Host.Region.
	Region string `json:"region"`
	// FailureDomain is the failure domain in which the upstream runs; see Host.FailureDomain.
	FailureDomain string `json:"failure-domain"`
	// Models lists the models it serves; empty for a plain service.
	Models []string `json:"models,omitempty"`
	// Service names the plain service it is a replica of; empty for a model engine.
	Service string `json:"service,omitempty"`
	// Slots is the maximum number of calls in flight to it.
	Slots int `json:"slots"`
	// Version is the version of its software. A stream is continued only by an upstream of the version that began it.
	Version string `json:"version,omitempty"`
	// Resume reports whether the engine can continue a stream from the tokens already generated.
	Resume bool `json:"resume,omitempty"`
}

// Targets returns the targets of the upstream: the models or the service that it serves, and each of these at its version.
func (u Upstream) Targets() []string {
	names := u.Models
	if u.Service != "" {
		names = []string{u.Service}
	}
	if u.Version == "" {
		return names
	}
	targets := slices.Clone(names)
	for _, name := range names {
		targets = append(targets, VersionTarget(name, u.Version))
	}
	return targets
}

// VersionTarget returns the name of the target that stands for the upstreams of a model or service with one version. For
// upstreams that state no version that is the model or service itself.
func VersionTarget(name, version string) string {
	if version == "" {
		return name
	}
	return name + "\x00" + version
}

// Service is one plain service that berylroad routes to.
type Service struct {
	// Name is unique among models and services.
	Name string `json:"name"`
	// NeverRepeat lists path prefixes, such as "/orders", whose calls run at most once.
	NeverRepeat []string `json:"never-repeat,omitempty"`
}

// Caller is one account that may send requests.
type Caller struct {
	// Name is unique among callers.
	Name string `json:"name"`
	// KeyHash is the lower-case hex SHA-256 of the caller's API key.
	KeyHash string `json:"key-hash"`
	// RequestsPerSecond limits the caller's request rate over the whole fleet; zero means no limit.
	RequestsPerSecond float64 `json:"requests-per-second,omitempty"`
	// Concurrent limits the caller's requests in flight over the whole fleet; zero means no limit.
	Concurrent int `json:"concurrent,omitempty"`
	// TokensPerMinute limits the caller's estimated tokens over the whole fleet; zero means no limit.
	TokensPerMinute int `json:"tokens-per-minute,omitempty"`
}

// Routing names a policy for choosing an upstream.
type Routing string

const (
	// RoutingOwner requests a permit from the host that owns the upstream.
	RoutingOwner Routing = "owner"
	// RoutingLocalLeast picks the upstream with the fewest calls in flight from this host. It serves as a baseline in measurements.
	RoutingLocalLeast Routing = "local-least"
	// RoutingRoundRobin picks the upstreams in turn. It serves as a baseline in measurements.
	RoutingRoundRobin Routing = "round-robin"
)

// Rules control routing, timeouts and limits, and list the leaving hosts and upstreams. A zero field means the default.
type Rules struct {
	// Routing is the policy for choosing an upstream.
	Routing Routing `json:"routing,omitempty"`
	// Leaving names hosts and upstreams that get no new work.
	Leaving []string `json:"leaving,omitempty"`
	// DefaultTimeout is the timeout of a request that sets none.
	DefaultTimeout Duration `json:"default-timeout,omitempty"`
	// MaxTimeout is the longest timeout that a request may set.
	MaxTimeout Duration `json:"max-timeout,omitempty"`
	// LongTokens is the estimated answer length in tokens from which a request counts as long.
	LongTokens int `json:"long-tokens,omitempty"`
	// LongShare is the share of an upstream's slots, from 0 to 1, that long online requests may hold.
	LongShare float64 `json:"long-share,omitempty"`
	// HedgePercent limits hedged calls, in percent of all calls.
	HedgePercent float64 `json:"hedge-percent,omitempty"`
	// RetryPercent limits retries, in percent of all calls.
	RetryPercent float64 `json:"retry-percent,omitempty"`
	// MaxAttempts is the maximum number of upstream calls for one online request.
	MaxAttempts int `json:"max-attempts,omitempty"`
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int `json:"max-body-bytes,omitempty"`
	// MaxAnswerBytes is the maximum size of an upstream's answer in bytes.
	MaxAnswerBytes int64 `json:"max-answer-bytes,omitempty"`
	// PlatformCallsPerSecond limits the whole fleet's calls to the platform's key-value service; each live host gets an equal part.
	PlatformCallsPerSecond float64 `json:"platform-calls-per-second,omitempty"`
}

const (
	defaultTimeout                = 60 * time.Second
	defaultMaxTimeout             = 10 * time.Minute
	defaultLongTokens             = 1024
	defaultLongShare              = 0.5
	defaultHedgePercent           = 5.0
	defaultRetryPercent           = 10.0
	defaultMaxAttempts            = 3
	defaultMaxBodyBytes           = 8 << 20
	defaultMaxAnswerBytes         = 64 << 20
	defaultPlatformCallsPerSecond = 200
)

// WithDefaults returns a copy of the rules with every zero field set to its default.
func (r Rules) WithDefaults() Rules {
	setDefault(&r.Routing, RoutingOwner)
	setDefault(&r.DefaultTimeout, Duration(defaultTimeout))
	setDefault(&r.MaxTimeout, Duration(defaultMaxTimeout))
	setDefault(&r.LongTokens, defaultLongTokens)
	setDefault(&r.LongShare, defaultLongShare)
	setDefault(&r.HedgePercent, defaultHedgePercent)
	setDefault(&r.RetryPercent, defaultRetryPercent)
	setDefault(&r.MaxAttempts, defaultMaxAttempts)
	setDefault(&r.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&r.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&r.PlatformCallsPerSecond, defaultPlatformCallsPerSecond)
	return r
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
