package berylbatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylstore"
)

// newerField is a field of a job's record that this build does not know.
const newerField = 99

// addNewerField writes the stored record of a job anew, as a newer build with one more field would.
func addNewerField(ctx context.Context, is *is.I, cluster *testCluster, id string) {
	item, found, err := cluster.store.Get(ctx, recordKey(id))
	is.NoErr(err)
	is.True(found)
	var fields map[uint64]any
	is.NoErr(cbor.Unmarshal(item.Value, &fields))
	fields[newerField] = "kept"
	value, err := cbor.Marshal(fields)
	is.NoErr(err)
	cluster.store.Commit(ctx, berylstore.Txn{Puts: []berylstore.Put{{Key: recordKey(id), Value: value}}})
}

// Guards against a field of a newer build that is lost when a host of this one rewrites a job's record.
func TestNewerFieldsOfARecordAreKept(t *testing.T) {
	for _, tt := range []struct {
		name    string
		rewrite func(t *testing.T, is *is.I, b *Manager)
	}{
		{"adopted and done", func(t *testing.T, _ *is.I, b *Manager) { readAll(t, b, "j", 10, 20*time.Second) }},
		{"cancelled", func(t *testing.T, is *is.I, b *Manager) { is.Equal(b.Cancel(t.Context(), "", "j"), nil) }},
		{"given back", func(_ *testing.T, _ *is.I, b *Manager) { time.Sleep(4 * time.Second); b.releaseJobs(true) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 2)
				a, kill := cluster.startHost(ctx, "a", 1)
				b, _ := cluster.startHost(ctx, "b", 1)
				time.Sleep(time.Millisecond)
				is.Equal(a.Submit(ctx, cluster.submission("j", 10)), nil)
				time.Sleep(300 * time.Millisecond)
				kill()
				addNewerField(ctx, is, cluster, "j")
				tt.rewrite(t, is, b)
				item, _, err := cluster.store.Get(ctx, recordKey("j"))
				is.NoErr(err)
				var fields map[uint64]any
				is.NoErr(cbor.Unmarshal(item.Value, &fields))
				is.Equal(fields[newerField], "kept")
			})
		})
	}
}
