package berylkey

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	// callerKeyPrefix starts every API key.
	callerKeyPrefix = "bk-"
	// callerKeyBytes is the number of random bytes in an API key.
	callerKeyBytes = 32
)

// NewCallerKey generates an API key for a caller and returns it with the hash that goes into the inventory.
func NewCallerKey() (key, hash string) {
	var secret [callerKeyBytes]byte
	_, _ = rand.Read(secret[:]) // never fails: crypto/rand ends the process if the system has no random numbers
	key = callerKeyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
	return key, HashCallerKey(key)
}

// HashCallerKey returns the lower-case hex SHA-256 of an API key.
func HashCallerKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
