// Package beryletcd is the client of the platform's key-value service and of its host list.
//
// It uses the JSON gateway of etcd v3 (range, txn, lease and watch): keys and values are base64, and 64-bit numbers are
// strings. Every call ends with a Status that says what is certain about its effect.
package beryletcd
