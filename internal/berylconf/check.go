package berylconf

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"berylroad.example/berylroad/internal/beryljson"
)

const (
	// maxSlots is the largest value of Upstream.Slots that passes the check.
	maxSlots = 100_000
	// keyHashSize is the size in bytes of a SHA-256 hash.
	keyHashSize = 32
)

// checker collects the semantic problems of a document that has the right syntax and types.
type checker struct {
	document  *Document
	positions *beryljson.Positions
	problems  []beryljson.Problem
}

// check returns every semantic problem of the document, such as duplicate names, unknown references and values out of range.
func check(document *Document, positions *beryljson.Positions) []beryljson.Problem {
	c := &checker{document: document, positions: positions}
	c.checkHosts()
	c.checkServices()
	c.checkUpstreams()
	c.checkCallers()
	c.checkRules()
	return c.problems
}

// report adds a problem at the position of the field that path names.
func (c *checker) report(path, format string, args ...any) {
	c.problems = append(c.problems, c.positions.Problem(path, fmt.Sprintf(format, args...)))
}

// checkUniqueName reports an empty name or one that is already in seen, and adds it to seen.
func (c *checker) checkUniqueName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.report(path, "is missing; give each entry a name")
	case seen[name]:
		c.report(path, "%q appears twice; names must be unique", name)
	}
	seen[name] = true
}

// checkLocation reports a missing region or failure domain.
func (c *checker) checkLocation(path, region, domain string) {
	if region == "" {
		c.report(path+".region", "is missing; name the region")
	}
	if domain == "" {
		c.report(path+".failure-domain", "is missing; name the failure domain")
	}
}

func (c *checker) checkHosts() {
	seen := map[string]bool{}
	for i, host := range c.document.Inventory.Hosts {
		path := fmt.Sprintf("inventory.hosts[%d]", i)
		c.checkUniqueName(path+".name", host.Name, seen)
		c.checkLocation(path, host.Region, host.FailureDomain)
		if _, err := netip.ParseAddrPort(host.PeerAddress); err != nil {
			c.report(path+".peer-address", "%q is not an IP address and port, such as 10.0.0.7:7443", host.PeerAddress)
		}
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	for i, service := range c.document.Inventory.Services {
		path := fmt.Sprintf("inventory.services[%d]", i)
		c.checkUniqueName(path+".name", service.Name, seen)
		for j, prefix := range service.NeverRepeat {
			if prefix == "" || prefix[0] != '/' {
				c.report(fmt.Sprintf("%s.never-repeat[%d]", path, j), "%q must start with a slash", prefix)
			}
		}
	}
}

func (c *checker) checkUpstreams() {
	seen := map[string]bool{}
	for i, upstream := range c.document.Inventory.Upstreams {
		path := fmt.Sprintf("inventory.upstreams[%d]", i)
		c.checkUniqueName(path+".name", upstream.Name, seen)
		c.checkLocation(path, upstream.Region, upstream.FailureDomain)
		c.checkUpstream(path, upstream)
	}
}

// checkUpstream checks the fields of one upstream other than its name and location.
func (c *checker) checkUpstream(path string, upstream Upstream) {
	address, err := url.Parse(upstream.URL)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		c.report(path+".url", "%q is not an http or https URL", upstream.URL)
	}
	if upstream.Slots < 1 || upstream.Slots > maxSlots {
		c.report(path+".slots", "is %d, but must be from 1 to %d", upstream.Slots, maxSlots)
	}
	switch {
	case upstream.Service != "" && len(upstream.Models) > 0:
		c.report(path+".service", "is set together with models; an upstream is either a model engine or a plain service")
	case upstream.Service == "" && len(upstream.Models) == 0:
		c.report(path+".models", "is missing; name the models it serves, or its service")
	case upstream.Service != "" && c.document.Inventory.Service(upstream.Service) == nil:
		c.report(path+".service", "%q is not in inventory.services; add it there", upstream.Service)
	}
	for j, model := range upstream.Models {
		if c.document.Inventory.Service(model) != nil {
			c.report(fmt.Sprintf("%s.models[%d]", path, j), "%q is also the name of a service; rename one", model)
		}
	}
}

func (c *checker) checkCallers() {
	seen := map[string]bool{}
	hashes := map[string]bool{}
	for i, caller := range c.document.Inventory.Callers {
		path := fmt.Sprintf("inventory.callers[%d]", i)
		c.checkUniqueName(path+".name", caller.Name, seen)
		if raw, err := hex.DecodeString(caller.KeyHash); err != nil || len(raw) != keyHashSize {
			c.report(path+".key-hash", "is not 64 hex digits; make a key with `berylroad key create-caller`")
		} else if hashes[caller.KeyHash] {
			c.report(path+".key-hash", "is also the hash of an earlier caller; create a key for each")
		}
		hashes[caller.KeyHash] = true
		c.checkNotNegative(path+".requests-per-second", caller.RequestsPerSecond)
		c.checkNotNegative(path+".concurrent", float64(caller.Concurrent))
		c.checkNotNegative(path+".tokens-per-minute", float64(caller.TokensPerMinute))
	}
}

// checkNotNegative adds a problem at the position of path if the value is below zero.
func (c *checker) checkNotNegative(path string, value float64) {
	if value < 0 {
		c.report(path, "is %g, but must not be negative", value)
	}
}

func (c *checker) checkRules() {
	rules := c.document.Rules
	if !slices.Contains([]Routing{"", RoutingOwner, RoutingLocalLeast, RoutingRoundRobin}, rules.Routing) {
		c.report("rules.routing", "%q is unknown; use %q, %q or %q", rules.Routing, RoutingOwner, RoutingLocalLeast, RoutingRoundRobin)
	}
	for i, name := range rules.Leaving {
		if !c.document.Inventory.hasHostOrUpstream(name) {
			c.report(fmt.Sprintf("rules.leaving[%d]", i), "%q is neither a host nor an upstream of the inventory", name)
		}
	}
	if rules.LongShare < 0 || rules.LongShare > 1 {
		c.report("rules.long-share", "is %g, but must be from 0 to 1", rules.LongShare)
	}
	c.checkTimeouts(rules)
	c.checkNumericRules(rules)
}

// checkTimeouts checks the timeouts; the default timeout must not exceed the maximum once defaults are filled in.
func (c *checker) checkTimeouts(rules Rules) {
	c.checkNotNegative("rules.default-timeout", float64(rules.DefaultTimeout))
	c.checkNotNegative("rules.max-timeout", float64(rules.MaxTimeout))
	filled := rules.WithDefaults()
	if filled.DefaultTimeout > filled.MaxTimeout {
		c.report("rules.default-timeout", "is %s, longer than max-timeout %s", filled.DefaultTimeout.Std(), filled.MaxTimeout.Std())
	}
}

// checkNumericRules reports negative numbers among the rules.
func (c *checker) checkNumericRules(rules Rules) {
	c.checkNotNegative("rules.long-tokens", float64(rules.LongTokens))
	c.checkNotNegative("rules.hedge-percent", rules.HedgePercent)
	c.checkNotNegative("rules.retry-percent", rules.RetryPercent)
	c.checkNotNegative("rules.max-attempts", float64(rules.MaxAttempts))
	c.checkNotNegative("rules.max-body-bytes", float64(rules.MaxBodyBytes))
	c.checkNotNegative("rules.max-answer-bytes", float64(rules.MaxAnswerBytes))
	c.checkNotNegative("rules.platform-calls-per-second", rules.PlatformCallsPerSecond)
}
