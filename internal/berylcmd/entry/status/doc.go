// Package status is the command that shows what an entry host believes.
package status
