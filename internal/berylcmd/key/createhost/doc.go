// Package createhost is the command that makes a host's certificate and key.
package createhost
