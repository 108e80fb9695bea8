package berylbatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"berylroad.example/berylroad/internal/berylstore"
)

// Guards against a host that holds a job whose items or results it can't read, and writes its record again and again, while a host of a
// newer build could run it.
func TestJobThatCantBeReadIsLeftToOthers(t *testing.T) {
	unknown, err := cbor.Marshal("a form of a newer build")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name string
		key  string
	}{
		{"items", specKey("j")},
		{"results", segmentKey("j", 0)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				a, kill := cluster.startHost(ctx, "a", 1)
				_, killB := cluster.startHost(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 30)), nil)
				time.Sleep(1400 * time.Millisecond) // some results are stored by now
				kill()
				readable, found, err := cluster.store.Get(ctx, tt.key)
				is.NoErr(err)
				is.True(found)
				replace(ctx, cluster, tt.key, unknown)
				time.Sleep(20 * time.Second)
				item, _, err := cluster.store.Get(ctx, recordKey("j"))
				is.NoErr(err)
				record, err := decode[Record](item.Value)
				is.NoErr(err)
				is.True(record.Owner != "b")   // b can't run it
				is.True(record.Adoptions <= 1) // and has tried once
				killB()
				replace(ctx, cluster, tt.key, readable.Value)
				c, _ := cluster.startHost(ctx, "c", 1) // can read it
				time.Sleep(time.Millisecond)
				for id, r := range readAll(t, c, "j", 30, 20*time.Second) {
					is.Equal(string(r.Text), eventText(id, 20))
				}
			})
		})
	}
}

func replace(ctx context.Context, cluster *testCluster, key string, value []byte) {
	cluster.store.Commit(ctx, berylstore.Txn{Puts: []berylstore.Put{{Key: key, Value: value}}})
}
