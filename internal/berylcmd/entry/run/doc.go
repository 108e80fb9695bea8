// Package run is the command that runs one entry host on the users' platform.
package run
