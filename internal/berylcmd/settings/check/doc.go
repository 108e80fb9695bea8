// Package check is the command that checks the platform's settings file.
package check
