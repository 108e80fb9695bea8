// Package check is the command that checks a configuration file.
package check
