// Package createcaller implements `berylroad key create-caller`, which creates an API key for a caller.
package createcaller
