// Package run is the command that runs one host with a disk on the users' platform.
package run
