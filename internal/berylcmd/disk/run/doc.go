// Package run implements `berylroad disk run`, which runs one host with a disk on the users' platform.
package run
