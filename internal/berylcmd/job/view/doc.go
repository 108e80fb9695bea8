// Package view implements `berylroad job view`, which prints the state of a job.
package view
