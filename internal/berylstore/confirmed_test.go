package berylstore_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylstore"
)

// Guards against a copy that passes for complete up to a revision which its watch has not reached, and for current while nothing has
// confirmed it for long.
func TestCopyKnowsHowFarItReaches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &silentStore{Store: &berylfake.MemoryStore{}}
		write := func(key string) int64 {
			return store.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: key, Value: []byte("v")}}}).Revision
		}
		c := newCopy(store)
		is.Equal(c.Through(), int64(0))
		is.True(c.Quiet(time.Now()))
		listed := write("p/1")
		go c.Run(t.Context())
		time.Sleep(time.Millisecond)
		is.Equal(c.Through(), listed)
		is.True(!c.Quiet(time.Now()))

		elsewhere := write("other/1") // what changes under other prefixes is learned with the answer to an idle watch
		time.Sleep(2100 * time.Millisecond)
		is.Equal(c.Through(), elsewhere)

		store.silent.Store(true)
		time.Sleep(500 * time.Millisecond)
		is.True(!c.Quiet(time.Now()))
		reached := c.Through()
		changed := write("p/1")
		time.Sleep(3 * time.Second)
		is.True(c.Quiet(time.Now()))
		is.Equal(c.Through(), reached)
		is.True(changed > reached)

		store.silent.Store(false)
		time.Sleep(3 * time.Second)
		is.True(!c.Quiet(time.Now()))
		is.True(c.Through() >= changed)
	})
}
