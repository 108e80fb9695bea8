// Package run implements `berylroad entry run`, which runs one entry host on the users' platform.
package run
