// Package cancel is the command that stops a job.
package cancel
