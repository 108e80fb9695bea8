package berylentry

import (
	"context"
	"fmt"
	"io"
	"math/bits"
	"slices"
	"sync/atomic"

	"berylroad.example/berylroad/internal/berylaccount"
	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/beryllimit"
	"berylroad.example/berylroad/internal/beryllink"
	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylrelay"
)

// kindLimit is the kind of message that asks for a lease on the limits of a client account.
const kindLimit = "limit-ask"

// accountLimits implements berylrelay.Limits.
type accountLimits struct {
	limiter *beryllimit.Limiter
}

// Admit admits one request of an account or refuses it.
func (a accountLimits) Admit(ctx context.Context, account *berylaccount.Account) (berylrelay.Admission, *beryloutcome.Refusal) {
	limited := limitedAccount(account)
	admission, refusal := a.limiter.Admit(ctx, &limited)
	if admission == nil {
		return nil, refusal // A nil *beryllimit.Admission is not a nil interface.
	}
	return admission, nil
}

func limitedAccount(a *berylaccount.Account) beryllimit.Account {
	return beryllimit.Account{Name: a.Name, RequestsPerSecond: a.RequestsPerSecond, Burst: a.Burst, Windowed: true}
}

// newLimiter returns the limiter of the accounts' requests, which asks other hosts over the given links.
func (h *Host) newLimiter(links *beryllink.Transport) *beryllimit.Limiter {
	limiter := beryllimit.New(beryllimit.Config{
		Self: h.Settings.Host,
		Account: func(name string) (beryllimit.Account, bool) {
			config := h.routes.Get()
			if config == nil {
				return beryllimit.Account{}, false
			}
			account := config.Accounts.ByName(name)
			if account == nil {
				return beryllimit.Account{}, false
			}
			return limitedAccount(account), true
		},
		LiveHosts: func() []string { return h.limitHosts.get(h).live },
		Owners:    func() []string { return h.limitHosts.get(h).owners },
		Listed:    func() int { return h.limitHosts.get(h).listed },
		RequestLease: func(ctx context.Context, host string, req beryllimit.LeaseRequest) (beryllimit.LeaseGrant, error) {
			return beryllink.Request[beryllimit.LeaseRequest, beryllimit.LeaseGrant](ctx, links, host, kindLimit, req)
		},
		Metrics: h.Metrics,
		Log:     h.Log,
	})
	h.Metrics.RegisterMetricsWriter(func(w io.Writer) { writeAccountMetrics(w, limiter.Status()) })
	return limiter
}

// writeAccountMetrics writes the metrics of the accounts in a limiter's status, which bounds their number.
func writeAccountMetrics(w io.Writer, accounts []beryllimit.AccountStatus) {
	for _, a := range accounts {
		fmt.Fprintf(w, "berylroad_limit_account_admitted_total{account=%q} %d\n", a.Account, a.Admitted)
		fmt.Fprintf(w, "berylroad_limit_account_refused_total{account=%q} %d\n", a.Account, a.Refused)
		fmt.Fprintf(w, "berylroad_limit_account_by_share_total{account=%q} %d\n", a.Account, a.ByShare)
	}
}

// limitHosts is what the limiter needs to know of the hosts, computed anew when they change.
type limitHosts struct {
	current atomic.Pointer[limitHostsView]
}

// limitHostsView is the limiter's view of the hosts until one of the channels is closed.
type limitHostsView struct {
	live, owners   []string
	listed         int
	changes        []<-chan struct{}
	listWasCurrent bool
	presumed       *[]berylhost.Member
}

func (l *limitHosts) get(h *Host) *limitHostsView {
	listIsCurrent := !h.hostRegistry.follower.LastCurrent().IsZero()
	view := l.current.Load()
	presumed := h.presumed.Load()
	if view != nil && view.listWasCurrent == listIsCurrent && view.presumed == presumed && !slices.ContainsFunc(view.changes, isClosed) {
		return view
	}
	next := &limitHostsView{changes: []<-chan struct{}{h.members.Changed(), h.hostRegistry.changed()}, listWasCurrent: listIsCurrent, presumed: presumed}
	live := h.members.Live()
	if presumed != nil {
		// Hosts that start together agree on the owners at once.
		live = slices.Concat(live, *presumed)
	}
	var staying []berylhost.Member
	for _, m := range live {
		next.live = append(next.live, m.Name)
		if !h.hostRegistry.isLeaving(m.Name, m.Boot) {
			staying = append(staying, m)
		}
	}
	if listIsCurrent {
		next.listed = h.hostRegistry.countListed(next.live)
	}
	next.owners = limitOwners(staying, max(next.listed, len(live)))
	if view != nil && slices.Equal(view.owners, next.owners) {
		next.owners = view.owners // The limiter takes another slice for a change of owners.
	}
	l.current.Store(next)
	return next
}

// limitGroupFactor times the groups of chooseKeepers are the groups of accounts. With 16 groups at 74 hosts the busiest owner gets
// 84 requests for leases a second in place of 140; more groups take nothing off it, since its largest account is most of it
// (BenchmarkFleetOfLeases).
const limitGroupFactor = 2

// limitOwners returns the owner of each group of accounts. There are few groups, so that each host has few connections to
// owners. Their number follows the listed hosts, which change less often than the live ones.
func limitOwners(hosts []berylhost.Member, listed int) []string {
	if len(hosts) == 0 {
		return nil
	}
	groups := limitGroupFactor * keeperGroups << bits.Len(uint(listed)/hostsPerKeeperGroups)
	owners := make([]string, groups)
	for g := range owners {
		owner, _ := berylhost.First(beryllimit.GroupKey(g), hosts, "")
		owners[g] = owner.Name
	}
	return owners
}
