// Package keyfile reads and writes certificates and private keys as PEM files.
package keyfile
