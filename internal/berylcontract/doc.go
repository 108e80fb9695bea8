// Package berylcontract holds the tests that every implementation of berylstore.Store must pass, including its behaviour under
// faults.
package berylcontract
