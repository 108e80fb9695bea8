// Package berylroute holds a host's view of the operators' routes and of the upstreams that serve them.
//
// A Config is one version of the routes. A Registry holds the upstreams as they announce themselves. Both are
// published as immutable values that are replaced as a whole, so that a request sees one state from its start to its
// end.
package berylroute
