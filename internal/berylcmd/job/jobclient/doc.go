// Package jobclient holds the flags that every command on jobs shares.
package jobclient
