// Package submit is the command that sends a file of items as one job.
package submit
