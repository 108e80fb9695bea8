// Package view is the command that shows how far a job is.
package view
