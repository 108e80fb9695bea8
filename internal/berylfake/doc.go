// Package berylfake holds small stand-ins for the systems around berylroad, with scripted faults, for tests and demonstrations.
package berylfake
