package berylentry

import (
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
)

// Guards against a restarted host being out of its peers' reach until their old connections to it time out: their packets
// are answered with stateless resets, which they recognize only if the key is that of the last run.
func TestResetKeyIsTheSameAfterARestart(t *testing.T) {
	is := is.New(t)
	store := &berylfake.MemoryStore{}
	resetKey := func(host string) [32]byte {
		c, err := loadCredentials(t.Context(), store, Settings{Host: host, PeerAddress: "10.0.0.1:1"}, discardLogger())
		is.NoErr(err)
		return c.ResetKey()
	}
	is.Equal(resetKey("h1"), resetKey("h1"))
	is.True(resetKey("h1") != resetKey("h2"))
}
