// Package compare is the command that measures the policy beside its baselines.
package compare
