// Package check implements `berylroad settings check`, which checks a settings file of the users' platform.
package check
