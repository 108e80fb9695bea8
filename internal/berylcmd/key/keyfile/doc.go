// Package keyfile reads and writes certificates and keys as files.
package keyfile
