package berylsched_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

// JobFloodInEveryRegion: while batch work waits in all regions it runs where it was sent, since each call of an item in
// another region carries its body there; no slot stays idle for it.
func TestJobFloodInEveryRegion(t *testing.T) {
	const (
		upstreams, slots = 4, 4
		items            = 160 // for each region: ten rounds of all its slots
		busy             = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		names := []string{"a1", "a2", "b1", "b2"}
		var doc berylconf.Document
		doc.Revision = 1
		for _, name := range names {
			doc.Inventory.Hosts = append(doc.Inventory.Hosts, berylconf.Host{Name: name, Region: name[:1]})
		}
		for _, region := range []string{"a", "b"} {
			for i := range upstreams {
				doc.Inventory.Upstreams = append(doc.Inventory.Upstreams, berylconf.Upstream{
					Name: fmt.Sprintf("%s-u%d", region, i), Region: region, Models: []string{"m"}, Slots: slots,
				})
			}
		}
		f := newFleet(doc, names...)
		defer f.stop()
		time.Sleep(3 * time.Second) // new owners grant batch work after a while
		var mu sync.Mutex
		far := 0
		var running sync.WaitGroup
		began := time.Now()
		for i := range 2 * items {
			name := names[i%len(names)]
			running.Go(func() {
				permit, refusal := f.hosts[name].Acquire(context.Background(), berylpermit.Ask{
					Target: "m", Class: berylpermit.Batch, Remaining: time.Minute, Queue: true,
				})
				if refusal != nil {
					t.Errorf("refused: %v", refusal)
					return
				}
				if !strings.HasPrefix(permit.Upstream, name[:1]) {
					mu.Lock()
					far++
					mu.Unlock()
				}
				time.Sleep(busy)
				permit.Release(berylpermit.Report{Kind: beryloutcome.Answered, Busy: busy})
			})
		}
		running.Wait()
		rounds := items / (upstreams * slots)
		is.True(far <= 2*items/10) // sent to other regions
		// One round more than the slots allow, since owners' shares differ, and the messages.
		is.True(time.Since(began) <= time.Duration(rounds+1)*busy*102/100)
	})
}
