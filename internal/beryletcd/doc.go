// Package beryletcd is the client of the platform's key-value service and of its host list.
//
// It speaks the published JSON gateway of etcd v3 (range, txn, lease, watch): keys and values in base64, 64-bit numbers
// as strings. Every call ends with a Status that says what is certain about it.
package beryletcd
