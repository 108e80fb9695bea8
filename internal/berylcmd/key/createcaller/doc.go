// Package createcaller is the command that makes a caller's API key.
package createcaller
