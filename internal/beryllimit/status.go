package beryllimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxStatusAccounts bounds the accounts in a Status.
	maxStatusAccounts = 20
	// maxLinesPerSecond bounds the lines that a limiter logs about decisions.
	maxLinesPerSecond = 5
)

// AccountStatus describes what this host holds of a windowed account. Ages are in milliseconds; -1 means never.
type AccountStatus struct {
	// Account is the account's name.
	Account string `json:"account"`
	// Owner is the host that grants the account's leases.
	Owner string `json:"owner"`
	// RatePerS and Burst are the limits by which this host last decided.
	RatePerS float64 `json:"rate-per-s"`
	Burst    float64 `json:"burst"`
	// Recent is the rate of requests that this host has recently admitted.
	Recent float64 `json:"recent-per-s"`
	// Admitted, Refused and ByShare count this host's decisions; ByShare counts those admitted without the owner.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	ByShare  uint64 `json:"by-share"`
	// Refunded counts admitted requests that did not run, Charged further sends of admitted ones.
	Refunded uint64 `json:"refunded"`
	Charged  uint64 `json:"charged"`
	// Leased is what this host may spend, LeaseAgeMS the time since it last asked the owner.
	Leased     uint64 `json:"leased"`
	LeaseAgeMS int64  `json:"lease-age-ms"`
	// Fallback is true while the owner does not answer.
	Fallback bool `json:"fallback"`
	// RefusedAgeMS is the time since this host last refused a request of the account.
	RefusedAgeMS int64 `json:"refused-age-ms"`
}

// totals counts a host's decisions about one account.
type totals struct {
	admitted, refused, byShare uint64
	refunded, charged          uint64
	refusedAt                  time.Time
}

func (t *totals) count(now time.Time, from source) {
	switch from {
	case fromNothing:
		t.refused++
		t.refusedAt = now
	case fromShare:
		t.byShare++
		t.admitted++
	case fromLease:
		t.admitted++
	}
}

// Status describes the windowed accounts of which this host holds something: those refused last first, then the busiest.
func (l *Limiter) Status() []AccountStatus {
	now := time.Now()
	owners := l.config.Owners()
	var list []AccountStatus
	l.mu.RLock()
	for name, h := range l.holdings {
		h.mu.Lock()
		s := AccountStatus{
			Account: name, RatePerS: h.account.RequestsPerSecond, Burst: h.account.Burst, Recent: h.recent.rate(now),
			Admitted: h.totals.admitted, Refused: h.totals.refused, ByShare: h.totals.byShare, Refunded: h.totals.refunded, Charged: h.totals.charged,
			Leased: h.leased, LeaseAgeMS: ageMS(now, h.askedAt), Fallback: h.fallback, RefusedAgeMS: ageMS(now, h.totals.refusedAt),
		}
		h.mu.Unlock()
		if len(owners) > 0 {
			s.Owner = owners[groupOf(name, len(owners))]
		}
		list = append(list, s)
	}
	l.mu.RUnlock()
	slices.SortFunc(list, func(a, b AccountStatus) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Recent, a.Recent), cmp.Compare(b.Admitted, a.Admitted), cmp.Compare(a.Account, b.Account))
	})
	return list[:min(len(list), maxStatusAccounts)]
}

func ageMS(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// lineBudget bounds the lines that are logged in a second.
type lineBudget struct {
	second  int64
	used    int
	omitted int
}

// take reports whether a line may be logged, and how many were omitted since the last one that was.
func (b *lineBudget) take(now time.Time) (int, bool) {
	if second := now.Unix(); second != b.second {
		b.second, b.used = second, 0
	}
	if b.used >= maxLinesPerSecond {
		b.omitted++
		return 0, false
	}
	b.used++
	omitted := b.omitted
	b.omitted = 0
	return omitted, true
}

// logDecision logs a decision that refuses or falls back to the share, at most maxLinesPerSecond of them. The caller holds
// the holding's lock.
func (l *Limiter) logDecision(now time.Time, h *lockedHolding, outcome string, wait time.Duration, err error) {
	if l.config.Log == nil {
		return
	}
	l.logMu.Lock()
	omitted, ok := l.lines.take(now)
	l.logMu.Unlock()
	if !ok {
		return
	}
	line := l.config.Log.WithFields(logrus.Fields{
		"account": h.account.Name, "limit": h.account.RequestsPerSecond, "burst": h.account.Burst, "recent": int(h.recent.rate(now)),
		"leased": h.leased, "lease-age-ms": ageMS(now, h.askedAt), "debt": h.debt - h.reportedDebt, "by-share": h.fallback,
		"outcome": outcome, "wait-ms": wait.Milliseconds(), "omitted-lines": omitted,
	})
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("limit: decision")
}
