package berylsched

import (
	"flag"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
)

var recordDecisions = flag.Bool("record-decisions", false, "rewrite testdata/decisions.txt")

const (
	decisionsFile   = "testdata/decisions.txt"
	decisionSeeds   = 4
	decisionEvents  = 1500
	hashesInOneLine = 20
)

// decisionTrial sends random events to an Owner and hashes the actions of each.
type decisionTrial struct {
	*rand.Rand
	owner Owner
	now   time.Time
	seq   uint64
	ids   []berylpermit.ID
	// account is the account of all requests.
	account string
}

func (d *decisionTrial) names(p float64) []string {
	var list []string
	for _, name := range []string{"u1", "u2", "u3"} {
		if d.Float64() < p {
			list = append(list, name)
		}
	}
	return list
}

func (d *decisionTrial) request() []Action {
	d.seq++
	req := berylpermit.Request{
		ID:     berylpermit.ID{Host: fmt.Sprint("h", d.IntN(3)), Boot: 1, Seq: d.seq},
		Target: []string{"m", "m", "n"}[d.IntN(3)], Queue: d.IntN(5) > 0, Hedge: d.IntN(15) == 0, Long: d.IntN(4) == 0,
		Prefer: d.names(0.1), Avoid: d.names(0.1), Tokens: d.IntN(400), PromptTokens: d.IntN(400),
		Remaining: time.Duration(d.IntN(9000)) * time.Millisecond, Account: d.account,
	}
	if d.IntN(3) == 0 {
		req.Class = berylpermit.Batch
	}
	if d.IntN(3) == 0 {
		req.MaxQueueWait = time.Duration(d.IntN(900)) * time.Millisecond
	}
	d.ids = append(d.ids, req.ID)
	return d.owner.Request(d.now, req)
}

func (d *decisionTrial) release() []Action {
	id := d.ids[d.IntN(len(d.ids))]
	if i := d.IntN(2 * len(d.ids)); i < len(d.ids) {
		for _, other := range d.ids[i:] { // mostly a permit that is held
			if d.owner.permits[other] != nil {
				id = other
				break
			}
		}
	}
	r := berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: time.Duration(5+d.IntN(60)) * time.Millisecond,
		InterTokenLatency: time.Duration(1+d.IntN(9)) * time.Millisecond, HeldFor: time.Duration(50+d.IntN(700)) * time.Millisecond}
	switch d.IntN(12) {
	case 0:
		r = berylpermit.Report{Kind: beryloutcome.Failed, Fault: true}
	case 1:
		r = berylpermit.Report{Kind: beryloutcome.NotRun, Refused: true}
	}
	return d.owner.Release(d.now, berylpermit.Release{ID: id, Report: r})
}

// rare returns the actions of an event that is not a request, a release or a tick.
func (d *decisionTrial) rare() []Action {
	switch d.IntN(6) {
	case 0:
		return d.owner.SetOwned(d.now, append(d.names(0.8), "u0"))
	case 1:
		// The waiters of a removed host are refused in random order, on which the loads in the replies depend.
		actions := slices.Clone(d.owner.RemoveHost(d.now, fmt.Sprint("h", d.IntN(3)), 1))
		for i := range actions {
			actions[i].Reply.Loads = nil
		}
		d.now = d.now.Add(loadCacheTTL)
		return actions
	case 2:
		return d.owner.RecoverFromPause(d.now)
	case 3:
		return d.owner.RecordPeerLoads(d.now, []berylpermit.Load{{Upstream: "u1", TimeToFirstToken: 20 * time.Millisecond, Straggler: d.IntN(2) == 0}})
	case 4:
		h := berylpermit.HeldReport{Host: fmt.Sprint("h", d.IntN(3)), Boot: 1}
		for _, id := range d.ids[max(len(d.ids)-40, 0):] {
			if id.Host == h.Host && d.IntN(2) == 0 {
				hp := berylpermit.HeldPermit{ID: id, Upstream: fmt.Sprint("u", id.Seq%4), Class: berylpermit.Class(id.Seq % 2), Account: d.account}
				h.Permits = append(h.Permits, hp)
			}
		}
		return d.owner.ReconcileHeld(d.now, h)
	default:
		l := berylpermit.Limit{Known: true, Limited: d.IntN(2) == 0, PerSecond: float64(d.IntN(40))}
		return d.owner.ReportStatement(d.now, berylpermit.StatementReport{Upstream: "u3", Statement: berylpermit.Statement{Limit: l}})
	}
}

func (d *decisionTrial) event() []Action {
	d.now = d.now.Add(time.Duration(d.IntN(12)) * time.Millisecond)
	switch n := d.IntN(100); {
	case n < 52:
		return d.request()
	case n < 86 && len(d.ids) > 0:
		return d.release()
	case n < 89 && len(d.ids) > 0:
		return d.owner.Withdraw(d.now, d.ids[d.IntN(len(d.ids))])
	case n < 98:
		return d.owner.Tick(d.now)
	default:
		return d.rare()
	}
}

// hash returns a hash of the actions. It ignores their order, which is random where hosts are removed.
func (d *decisionTrial) hash(actions []Action) string {
	var lines []string
	for _, a := range actions {
		r := a.Reply
		line := fmt.Sprint(a.Kind, r.ID, r.Verdict, r.Upstream, r.PredictedWait, a.Yield, a.Limit, a.Health)
		for _, l := range r.Loads {
			line += fmt.Sprint(l.Upstream, l.Slots, l.Online, l.Batch, l.Waiting, l.PredictedWait, l.Straggler, l.TimeToFirstToken, l.Limit, l.Admitted)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return fmt.Sprintf("%04x", crc32.ChecksumIEEE([]byte(strings.Join(lines, "\n")))&0xffff)
}

// decisionHashes returns the hashes of the decisions about all events of all seeds, with requests of one account.
func decisionHashes(account string) []string {
	var hashes []string
	for seed := range uint64(decisionSeeds) {
		d := &decisionTrial{Rand: rand.New(rand.NewPCG(seed, 20261206)), now: time.Unix(1000, 0), account: account}
		d.owner.Configure(d.now, Config{LongShare: 0.5, Upstreams: []Upstream{
			{Name: "u0", Slots: 3, Targets: []string{"m"}}, {Name: "u1", Slots: 8, Targets: []string{"m", "n"}},
			{Name: "u2", Slots: 1, Targets: []string{"n"}}, {Name: "u3", Slots: 4, Targets: []string{"m"}},
		}})
		d.owner.SetOwned(d.now, []string{"u0", "u1", "u2", "u3"})
		for range decisionEvents {
			hashes = append(hashes, d.hash(d.event()))
		}
	}
	return hashes
}

// TestDecisionsWithoutAccounts guards against a change of decisions for deployments without accounts: it compares the
// decision about each of 6,000 events with that of the scheduler before accounts were added (commit fc34ddb), which
// wrote the file. Requests that are all of one account must be decided in the same way.
func TestDecisionsWithoutAccounts(t *testing.T) {
	is := is.New(t)
	got := decisionHashes("")
	if *recordDecisions {
		var b strings.Builder
		for line := range slices.Chunk(got, hashesInOneLine) {
			b.WriteString(strings.Join(line, " ") + "\n")
		}
		is.NoErr(os.WriteFile(decisionsFile, []byte(b.String()), 0o644))
	}
	content, err := os.ReadFile(decisionsFile)
	is.NoErr(err)
	want := strings.Fields(string(content))
	ofOne := decisionHashes("only")
	is.Equal(len(got), len(want))
	for i := range want {
		if got[i] != want[i] || ofOne[i] != want[i] {
			t.Fatalf("seed %d, event %d is decided differently: without account %s, with one account %s, before %s",
				i/decisionEvents, i%decisionEvents, got[i], ofOne[i], want[i])
		}
	}
}
