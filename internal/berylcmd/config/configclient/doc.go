// Package configclient holds what every command on the configuration in force shares.
package configclient
