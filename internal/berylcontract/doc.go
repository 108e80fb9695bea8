// Package berylcontract holds the tests that every berylstore.Store must pass, with the fault cases.
package berylcontract
