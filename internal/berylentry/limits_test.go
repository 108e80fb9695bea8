package berylentry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
)

// accountDecoder is a benchDecoder whose configuration has accounts.
type accountDecoder struct {
	benchDecoder
	accounts *berylaccount.Directory
}

func (d accountDecoder) Config(value []byte) (*berylroute.Config, error) {
	config, err := d.benchDecoder.Config(value)
	config.Accounts = d.accounts
	return config, err
}

// Guards against hosts that do not find the owner or do not ask it: over the real messages, all hosts together admit the
// account's limit, and an account without one asks nothing.
func TestLimitOfAnAccountOverHosts(t *testing.T) {
	is := is.New(t)
	accounts, err := berylaccount.NewDirectory([]berylaccount.Entry{
		{Account: berylaccount.Account{Name: "limited", RequestsPerSecond: 10, Burst: 10}}, {Account: berylaccount.Account{Name: "free"}},
	})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	f := startBenchFleet(t, ctx, 5, accountDecoder{accounts: accounts})
	defer f.ended.Wait()
	defer cancel()
	f.waitReady(t, time.Minute)
	var mu sync.Mutex
	var requests sync.WaitGroup
	refused, admitted := 0, 0
	send := func(h *Host, id, account string) {
		requests.Go(func() {
			result := h.Relay.Do(ctx, &berylrelay.Request{
				ID: id, Route: &h.routes.Get().Routes[0], Deadline: time.Now().Add(5 * time.Second), Account: accounts.ByName(account),
			}, benchSink{})
			mu.Lock()
			defer mu.Unlock()
			if result.Refusal != nil && result.Refusal.Status == http.StatusTooManyRequests {
				refused++
				if result.Kind != beryloutcome.NotRun || result.Refusal.RetryAfter <= 0 {
					t.Errorf("%s: %v, %v", id, result.Kind, result.Refusal)
				}
			} else if account == "limited" {
				admitted++
			}
		})
	}
	for i := range 20 {
		send(f.hosts[i%5], fmt.Sprint("free-", i), "free")
	}
	requests.Wait()
	is.Equal(refused, 0)
	for _, h := range f.hosts {
		is.Equal(len(h.Status().Accounts), 0)
	}
	const seconds = 4
	for i := range 40 * seconds {
		send(f.hosts[rand.IntN(5)], fmt.Sprint("limited-", i), "limited")
		time.Sleep(25 * time.Millisecond)
	}
	requests.Wait()
	t.Log("admitted", admitted, "refused", refused)
	is.True(admitted >= 10*(seconds-2))
	is.True(admitted <= 10*seconds+10+26) // the burst, and the tolerance of the bound for 4 s
	is.True(refused > 0)
	var metrics strings.Builder
	f.hosts[0].Metrics.WritePrometheus(&metrics)
	is.True(strings.Contains(metrics.String(), `berylroad_limit_account_refused_total{account="limited"}`))
	owner := f.hosts[0].Status().Accounts[0].Owner
	for _, h := range f.hosts {
		s := h.Status().Accounts[0]
		is.Equal(s.Owner, owner)
		is.Equal(s.Fallback, false)
	}
}

// Guards against owners that are about to stop, more connections than there are groups, and accounts that change their owner
// when another host goes.
func TestOwnersOfLimits(t *testing.T) {
	is := is.New(t)
	for hosts, groups := range map[int]int{3: 16, 74: 16, 420: 64} {
		live := liveHosts(hosts)
		owners := limitOwners(live, hosts)
		is.Equal(len(owners), groups)
		left := slices.DeleteFunc(slices.Clone(live), func(m berylhost.Member) bool { return m.Name == owners[0] })
		for g, owner := range limitOwners(left, hosts) {
			is.True(owner != owners[0])
			is.True(owner == owners[g] || owners[g] == owners[0])
		}
	}
	is.Equal(len(limitOwners(nil, 3)), 0)
}

// Guards against shares that count hosts which have left, or leave out a host that only the store rejects.
func TestNumberOfListedHosts(t *testing.T) {
	is := is.New(t)
	r := &registry{
		self: berylhost.Member{Name: "a"}, deleted: map[string]bool{"gone": true, "rejected": true},
		hosts: map[string]hostRecord{"a": {}, "b": {}, "gone": {}, "rejected": {}},
	}
	is.Equal(r.countListed([]string{"a"}), 2)
	is.Equal(r.countListed([]string{"a", "b", "rejected"}), 3)
}
