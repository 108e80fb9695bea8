// Package configclient holds the flags and dependencies that the `berylroad config` commands share.
package configclient
