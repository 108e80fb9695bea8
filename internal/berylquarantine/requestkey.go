package berylquarantine

import (
	"crypto/sha256"
	"encoding/hex"
)

// keyBytes is how many bytes of the hash a request's key holds. It must not be feasible to find another request with the key of
// somebody else's.
const keyBytes = 16

// RequestKeys returns the keys of a request that is the same when it comes again under another ID, the widest first: one of its
// method, host, path and body, and one of these and its caller.
func RequestKeys(caller, method, host, path string, body []byte) []string {
	h := sha256.New()
	for _, field := range []string{method, host, path} {
		writeField(h.Write, []byte(field))
	}
	writeField(h.Write, body)
	anyCaller := h.Sum(nil)
	writeField(h.Write, []byte(caller))
	return []string{requestKey(anyCaller), requestKey(h.Sum(nil))}
}

// writeField writes a field with its length, so that no two lists of fields give the same bytes.
func writeField(write func([]byte) (int, error), field []byte) {
	n := len(field)
	_, _ = write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}) // a hash never fails
	_, _ = write(field)
}

func requestKey(sum []byte) string {
	return requestPrefix + hex.EncodeToString(sum[:keyBytes])
}
