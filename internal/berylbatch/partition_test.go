package berylbatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// adoptions returns how often a job has been adopted by the record in the store.
func (cluster *testCluster) adoptions(ctx context.Context, is *is.I, job string) int {
	item, found, err := cluster.store.Get(ctx, recordKey(job))
	is.NoErr(err)
	is.True(found)
	record, err := decode[Record](item.Value)
	is.NoErr(err)
	return record.Adoptions
}

// Guards against two hosts that reach the store but not each other adopting a job from each other again and again, so that
// neither gets on with it and an item that fails is sent more often than allowed.
func TestJobIsNotAdoptedBackAndForth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		cluster.upstream.events = 2000
		a, _ := cluster.startHost(ctx, "a", 1)
		cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 4)), nil)
		cluster.mu.Lock()
		clear(cluster.alive) // each host takes the other one for lost
		cluster.mu.Unlock()
		time.Sleep(8 * time.Second)
		is.True(cluster.adoptions(ctx, is, "j") <= 4) // one in adoptedOwnerGrace
	})
}

// An owner that is lost later than adoptedOwnerGrace after it took the job is replaced at once.
func TestOwnerLostLaterIsReplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx, cluster := setUp(t, 4)
		cluster.upstream.events = 2000
		a, kill := cluster.startHost(ctx, "a", 1)
		cluster.startHost(ctx, "b", 1)
		time.Sleep(time.Millisecond)
		is.Equal(a.Submit(ctx, cluster.submission("j", 4)), nil)
		time.Sleep(4 * time.Second)
		kill()
		time.Sleep(adoptInterval + 100*time.Millisecond)
		is.Equal(cluster.adoptions(ctx, is, "j"), 1)
	})
}
