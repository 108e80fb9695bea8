// Package apply implements `berylroad config apply`, which replaces the configuration of the fleet.
package apply
