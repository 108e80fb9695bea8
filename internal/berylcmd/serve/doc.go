// Package serve is the command that runs one host.
package serve
