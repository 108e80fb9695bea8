// Package berylroute holds what a host believes of the operators' routes and of the upstreams that serve them.
//
// A Config is one version of the routes. A Fleet is the upstreams as they announce themselves. Both are replaced whole
// and never changed once published, so that a request sees one state from its start to its end.
package berylroute
