// Package view is the command that prints the configuration in force.
package view
