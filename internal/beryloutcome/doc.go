// Package beryloutcome defines the result of a call to an upstream.
package beryloutcome
