// Package berylconf defines, parses and checks the fleet's configuration: the inventory of hosts, upstreams, services and
// callers, and the rules for routing and limits.
package berylconf
