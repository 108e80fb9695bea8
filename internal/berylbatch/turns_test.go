package berylbatch

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an account whose jobs wait behind all jobs of another one, and against another order where there are no accounts.
func TestAccountsTakeTurns(t *testing.T) {
	for _, tt := range []struct {
		name string
		// jobs are sent in this order, each as ACCOUNT:ITEMS:TOKENS of an item, while one item of the first runs.
		jobs []string
		want string
	}{
		{"many jobs of one account", []string{"x:4:100", "x:4:100", "y:2:100"}, "0 2 0 2 0 0 1 1 1 1"},
		{"by tokens of work", []string{"x:4:100", "y:4:50"}, "0 1 1 0 1 1 0 0"},
		{"three accounts", []string{"x:3:100", "y:2:100", "z:2:100"}, "0 1 2 0 1 2 0"},
		{"without accounts", []string{":3:100", ":2:50", ":1:10"}, "0 0 0 1 1 2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, ctx, cluster := setUp(t, 1)
				a, _ := cluster.startHost(ctx, "a", 1)
				time.Sleep(time.Millisecond)
				for i, job := range tt.jobs {
					var items int
					var tokens int64
					account, rest, _ := strings.Cut(job, ":")
					_, err := fmt.Sscanf(rest, "%d:%d", &items, &tokens)
					is.NoErr(err)
					s := cluster.submission(fmt.Sprint(i), items)
					s.Account = account
					setTokens(s.Items, tokens*int64(items))
					is.Equal(a.Submit(ctx, s), nil)
					time.Sleep(time.Millisecond)
				}
				time.Sleep(5 * time.Second)
				var order []string
				cluster.upstream.mu.Lock()
				defer cluster.upstream.mu.Unlock()
				for _, id := range cluster.upstream.calls {
					job, _, _ := strings.Cut(id, "-")
					order = append(order, job)
				}
				is.Equal(strings.Join(order, " "), tt.want)
			})
		})
	}
}

// Guards against an account that waits for as long as it was idle once it has made more calls than another.
func TestTurnsOfIdleAccounts(t *testing.T) {
	var turns accountTurns
	for range 100 {
		turns.charge("x", 10)
	}
	if turns.at("y") != turns.now || turns.at("x") != turns.now+10 {
		t.Errorf("y is at %v and x at %v, %v is the present", turns.at("y"), turns.at("x"), turns.now)
	}
	turns.charge("y", 10)
	turns.charge("x", 10)
	if len(turns.next) != 1 {
		t.Errorf("%d accounts are kept, only one is ahead", len(turns.next))
	}
}
