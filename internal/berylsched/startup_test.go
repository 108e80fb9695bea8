package berylsched_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

// Guards against online requests waiting for owners that are not up yet when all hosts of a fleet start together.
func TestOwnerThatIsOnlyPresumedToBeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		doc := berylconf.Document{Inventory: berylconf.Inventory{
			Hosts:     []berylconf.Host{{Name: "a", Region: "r"}, {Name: "b", Region: "s"}},
			Upstreams: []berylconf.Upstream{{Name: "u", Region: "s", Models: []string{"m"}, Slots: 4}},
		}}
		f := newFleet(doc, "a", "b")
		defer f.stop()
		f.freeze("b", true)
		acquire := func() time.Duration {
			began := time.Now()
			permit, refusal := f.hosts["a"].Acquire(context.Background(), berylpermit.Request{Target: "m", Remaining: 5 * time.Second, Queue: true})
			is.Equal(refusal, nil)
			permit.Release(berylpermit.Report{})
			return time.Since(began)
		}
		f.hosts["a"].SetMembers([]berylsched.Member{{Name: "a", Boot: 1}, {Name: "b", Presumed: true}})
		is.True(acquire() < 50*time.Millisecond)
		f.freeze("b", false)
		time.Sleep(time.Second)
		is.True(acquire() < 10*time.Millisecond) // an owner that answers is asked
	})
}
