// Package serve implements `berylroad serve`, which runs one host.
package serve
