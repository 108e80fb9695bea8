// Command knownred runs the tests and lets the run pass over just the failures that a list names.
//
// Usage: knownred LIST [PACKAGE...]; without packages it runs all of them.
package main
