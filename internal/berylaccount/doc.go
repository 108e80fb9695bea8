// Package berylaccount holds the client accounts of one configuration: their API keys, priorities and request limits.
//
// API keys are held as hashes only, so that no log line, message or memory dump contains one.
package berylaccount
