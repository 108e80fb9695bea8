// Package apply is the command that puts a configuration in force.
package apply
