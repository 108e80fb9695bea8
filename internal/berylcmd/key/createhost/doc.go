// Package createhost implements `berylroad key create-host`, which creates a host's certificate and key.
package createhost
