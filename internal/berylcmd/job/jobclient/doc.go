// Package jobclient holds the flags, dependencies and error hints that the `berylroad job` commands share.
package jobclient
