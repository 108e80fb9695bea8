package berylbatch

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylrelay"
	"berylroad.example/berylroad/internal/berylroute"
)

// Guards against callers of one account reading or cancelling the jobs of another.
func TestVisibilityOfJobs(t *testing.T) {
	for _, tc := range []struct {
		name, owner, reader string
		visible             bool
	}{
		{"own job", "a", "a", true},
		{"job of another account", "a", "b", false},
		{"job accepted before there were accounts", "", "b", true},
		{"deployment without accounts", "", "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := &Manager{Config: Config{Log: discardLog()}, jobs: map[string]*job{
				"j": {id: "j", record: Record{Account: tc.owner, Total: 1, Cancelled: true}, changed: make(chan struct{})},
			}}
			_, _, refusal := m.lookUp(t.Context(), tc.reader, "j")
			is.Equal(refusal == nil, tc.visible)
			if refusal != nil {
				is.Equal(refusal.Status, http.StatusNotFound)
			}
		})
	}
}

// accountBroker records the permit requests, and the accounts of the calls that are made under the permits.
type accountBroker struct {
	*testCluster
	mu       sync.Mutex
	requests []berylpermit.Request
	calls    map[string]*berylrelay.Call
}

func (b *accountBroker) Acquire(ctx context.Context, request berylpermit.Request) (*berylpermit.Permit, *beryloutcome.Refusal) {
	b.mu.Lock()
	b.requests = append(b.requests, request)
	b.mu.Unlock()
	return b.testCluster.Acquire(ctx, request)
}

func (b *accountBroker) Call(ctx context.Context, call *berylrelay.Call) (*berylrelay.Reply, error) {
	b.mu.Lock()
	b.calls[call.ID] = call
	b.mu.Unlock()
	return b.upstream.Call(ctx, call)
}

// Guards against items that wait or run in the name of another account, an account with many items that keeps out the others, a job
// that ends with its account, and a deployment without accounts whose permits say anything new.
func TestPermitsOfItemsNameTheAccount(t *testing.T) {
	is, ctx, cluster := setUp(t, 1)
	cluster.upstream.events = 3
	broker := &accountBroker{testCluster: cluster, calls: make(map[string]*berylrelay.Call)}
	cluster.permitsBroker, cluster.client = broker, broker
	m, _ := cluster.startHost(ctx, "h1", 1)
	submit := func(id, account string, items int) {
		s := cluster.submission(id, items)
		s.Account = account
		for i := range s.Items {
			s.Items[i].PromptTokens = 10 * (i + 1)
		}
		is.Equal(m.Submit(ctx, s), nil)
	}
	submit("plain", "", 2)
	readAll(t, m, "plain", 2, 5*time.Second)
	for _, r := range broker.requests {
		is.Equal([]any{r.Account, r.Priority, r.PromptTokens}, []any{"", 0, 0})
	}
	is.True(!broker.calls["plain-0"].HasAccounts)
	broker.requests = nil
	directory, err := berylaccount.NewDirectory([]berylaccount.Entry{{Account: berylaccount.Account{Name: "hot", Priority: 1}}, {Account: berylaccount.Account{Name: "calm"}}})
	is.NoErr(err)
	route := cluster.routes.Get().Routes[0]
	route.Priority = 7
	cluster.routes.Install(&berylroute.Config{Version: 9, Routes: []berylroute.Route{route}, Accounts: directory})
	submit("a", "hot", 30)
	submit("b", "calm", 3)
	submit("c", "gone", 1) // an account that has been removed from the configuration
	readAll(t, m, "b", 3, 5*time.Second)
	readAll(t, m, "c", 1, 5*time.Second)
	readAll(t, m, "a", 30, 20*time.Second)
	priorities := make(map[string]int)
	broker.mu.Lock()
	defer broker.mu.Unlock()
	for _, r := range broker.requests {
		priorities[r.Account] = r.Priority
		is.True(r.PromptTokens >= 10 || r.Account == "")
	}
	is.Equal(priorities, map[string]int{"hot": 1, "calm": 0, "gone": 7})
	for id, account := range map[string]string{"a-5": "hot", "b-2": "calm", "c-0": "gone"} {
		is.Equal(broker.calls[id].Account, account)
		is.True(broker.calls[id].HasAccounts)
	}
}
