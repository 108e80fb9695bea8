// Package berylapi holds the public types that callers and operators exchange with berylroad.
package berylapi
