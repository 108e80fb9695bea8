// Package beryldrain decides which requests a host still starts during a planned stop.
package beryldrain
