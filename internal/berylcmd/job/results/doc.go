// Package results implements `berylroad job results`, which prints the results of a job.
package results
