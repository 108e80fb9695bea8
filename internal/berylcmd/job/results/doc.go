// Package results is the command that prints a job's results.
package results
