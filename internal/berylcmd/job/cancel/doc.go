// Package cancel implements `berylroad job cancel`, which cancels a job.
package cancel
