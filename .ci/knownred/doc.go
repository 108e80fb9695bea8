// Command knownred runs the tests and lets the run pass over just the failures that a list names.
package main
