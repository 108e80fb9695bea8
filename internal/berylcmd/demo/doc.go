// Package demo is the command that shows the whole path in one process.
package demo
