// Package berylonce keeps requests that carry an idempotency key from running twice.
package berylonce
