// Package root puts the commands together and parses the command line.
package root
