// Command knownred runs the tests and succeeds if no test fails other than those in a list of known failures.
//
// Usage: knownred LIST [PACKAGE...]. Without packages it tests all of them.
package main
