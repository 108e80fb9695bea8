// Package check implements `berylroad config check`, which checks a configuration file.
package check
