// Package compare implements `berylroad load compare`, which measures the routing policy against its baselines.
package compare
