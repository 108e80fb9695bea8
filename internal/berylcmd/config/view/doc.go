// Package view implements `berylroad config view`, which prints the configuration in force.
package view
