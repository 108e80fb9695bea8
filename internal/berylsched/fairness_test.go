package berylsched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

// accountLoad is the load of one account in a fairTrial.
type accountLoad struct {
	name string
	// perSecond returns the rate of requests at a time since the start.
	perSecond func(at time.Duration) float64
	// tokens is the estimated length of an answer; a call takes callTime for 100 tokens.
	tokens int
	// remaining is the time to the deadline, by default 5 s.
	remaining time.Duration
	class     berylpermit.Class
}

// accountResult is what became of one account's requests.
type accountResult struct {
	sent, granted, refused int
	// inTime counts the answered requests whose first event came within trialMaxFirst of their arrival.
	inTime int
	// waits are the times from arrival to grant.
	waits []time.Duration
}

const (
	trialStep     = time.Millisecond
	trialMaxWait  = 150 * time.Millisecond
	trialMaxFirst = 300 * time.Millisecond
	callTime      = 700 * time.Millisecond
)

// fairTrial sends the loads of accounts to one or several owners and ends each call after its time, on a clock of its own.
// Each request goes to a random owner.
type fairTrial struct {
	random  *rand.Rand
	owners  []*berylsched.Owner
	now     time.Time
	results map[string]*accountResult
	calls   map[berylpermit.ID]*trialCall
	ends    map[time.Time][]berylpermit.ID
	seq     uint64
	// behave returns how a call ends at an upstream with that many calls in flight. The default is behaveSound.
	behave   func(upstream string, inFlight int, held time.Duration) berylpermit.Report
	inFlight map[string]int
	// step, if set, is called before each step.
	step func(at time.Duration)
	// busy is the sum of the times for which slots were held since measuring began.
	busy time.Duration
}

type trialCall struct {
	load     *accountLoad
	owner    int
	sentAt   time.Time
	measured bool
	upstream string
	report   berylpermit.Report
}

func behaveSound(_ string, _ int, held time.Duration) berylpermit.Report {
	return berylpermit.Report{Kind: beryloutcome.Answered, TimeToFirstToken: 30 * time.Millisecond, HeldFor: held}
}

func newFairTrial(owners, upstreams, slots int) *fairTrial {
	f := &fairTrial{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), calls: make(map[berylpermit.ID]*trialCall)}
	f.ends = make(map[time.Time][]berylpermit.ID)
	f.behave, f.inFlight = behaveSound, make(map[string]int)
	var names []string
	for i := range upstreams {
		names = append(names, fmt.Sprint("u", i))
	}
	for range owners {
		f.owners = append(f.owners, new(berylsched.Owner))
	}
	f.configure(names, slots)
	return f
}

// configure makes each owner own upstreams of these names.
func (f *fairTrial) configure(names []string, slots int) {
	var list []berylsched.Upstream
	for _, name := range names {
		list = append(list, berylsched.Upstream{Name: name, Slots: slots, Targets: []string{"m"}})
	}
	for _, o := range f.owners {
		f.perform(o.Configure(f.now, berylsched.Config{LongShare: 0.5, Upstreams: list}))
		f.perform(o.SetOwned(f.now, names))
	}
}

func (f *fairTrial) send(l *accountLoad, measured bool) {
	f.seq++
	id := berylpermit.ID{Host: "h", Boot: 1, Seq: f.seq}
	c := &trialCall{load: l, owner: f.random.IntN(len(f.owners)), sentAt: f.now, measured: measured}
	f.calls[id] = c
	if measured {
		f.results[l.name].sent++
	}
	req := berylpermit.Request{ID: id, Target: "m", Account: l.name, Tokens: l.tokens, Queue: true, Remaining: l.remaining, Class: l.class}
	if l.class == berylpermit.Online {
		req.MaxQueueWait = trialMaxWait
	}
	f.perform(f.owners[c.owner].Request(f.now, req))
}

func (f *fairTrial) perform(actions []berylsched.Action) {
	for _, a := range actions {
		if a.Kind == berylsched.ActionYield {
			defer f.preempt(a.Yield.ID)
			continue
		}
		c := f.calls[a.Reply.ID]
		if a.Kind != berylsched.ActionReply || c == nil {
			continue
		}
		if a.Reply.Verdict != berylpermit.Granted {
			if c.measured {
				f.results[c.load.name].refused++
			}
			delete(f.calls, a.Reply.ID)
			continue
		}
		c.upstream = a.Reply.Upstream
		held := time.Duration(float64(callTime) * float64(c.load.tokens) / 100 * (0.5 + f.random.Float64()))
		f.inFlight[c.upstream]++
		c.report = f.behave(c.upstream, f.inFlight[c.upstream], held)
		end := f.now.Add(c.report.HeldFor).Truncate(trialStep).Add(trialStep)
		f.ends[end] = append(f.ends[end], a.Reply.ID)
		if !c.measured {
			continue
		}
		f.busy += held
		r := f.results[c.load.name]
		r.granted++
		wait := f.now.Sub(c.sentAt)
		r.waits = append(r.waits, wait)
		if c.report.Kind == beryloutcome.Answered && wait+c.report.TimeToFirstToken <= trialMaxFirst {
			r.inTime++
		}
	}
}

// preempt ends a call that must yield and sends it again.
func (f *fairTrial) preempt(id berylpermit.ID) {
	c := f.calls[id]
	if c == nil {
		return
	}
	delete(f.calls, id)
	f.inFlight[c.upstream]--
	if c.measured {
		r := f.results[c.load.name]
		r.sent--
		r.granted--
	}
	f.perform(f.owners[c.owner].Release(f.now, berylpermit.Release{ID: id, Upstream: c.upstream}))
	f.send(c.load, c.measured)
}

// run sends the loads for a time and measures the requests sent after warmup.
func (f *fairTrial) run(loads []accountLoad, warmup, length time.Duration) {
	f.results = make(map[string]*accountResult)
	for i := range loads {
		f.results[loads[i].name] = new(accountResult)
		if loads[i].remaining == 0 {
			loads[i].remaining = 5 * time.Second
		}
	}
	for at := time.Duration(0); at < length; at += trialStep {
		if f.step != nil {
			f.step(at)
		}
		for i := range loads {
			for p := loads[i].perSecond(at) * trialStep.Seconds(); p > 0; p-- {
				if p >= 1 || f.random.Float64() < p {
					f.send(&loads[i], at >= warmup)
				}
			}
		}
		f.now = f.now.Add(trialStep)
		for _, id := range f.ends[f.now] {
			c := f.calls[id]
			if c == nil {
				continue // preempted
			}
			delete(f.calls, id)
			f.inFlight[c.upstream]--
			f.perform(f.owners[c.owner].Release(f.now, berylpermit.Release{ID: id, Upstream: c.upstream, Report: c.report}))
		}
		delete(f.ends, f.now)
		if f.now.UnixMilli()%25 == 0 {
			for _, o := range f.owners {
				f.perform(o.Tick(f.now))
			}
		}
	}
}

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// times returns a rate that is multiplied by a factor from one time until another.
func times(perSecond, factor float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return perSecond * factor
		}
		return perSecond
	}
}

// TestHotAccountBesideSmallOnes guards against an account that crowds out others: one account sends five times its usual
// rate, twice what all slots can run, beside eleven small ones that use a third of the slots. With one and with four owners,
// each of which sees a part of every account's requests, the small ones are served as if they were alone, and the hot
// account gets all other slots.
func TestHotAccountBesideSmallOnes(t *testing.T) {
	for _, owners := range []int{1, 4} {
		t.Run(fmt.Sprint("owners=", owners), func(t *testing.T) {
			is := is.New(t)
			f := newFairTrial(owners, 32/owners, 4) // 128 slots run 183 requests per second
			loads := []accountLoad{{name: "hot", tokens: 100, perSecond: times(73, 5, 2*time.Second, time.Minute)}}
			for i := range 11 {
				loads = append(loads, accountLoad{name: fmt.Sprint("small", i), tokens: 100, perSecond: steady(5.5)})
			}
			f.run(loads, 3*time.Second, 13*time.Second)
			sent, inTime := 0, 0
			for _, l := range loads[1:] {
				sent += f.results[l.name].sent
				inTime += f.results[l.name].inTime
			}
			used := f.busy.Seconds() / 10 / 128
			t.Logf("small accounts: %d of %d in time; hot account: %d of %d; slots used: %.3f", inTime, sent, f.results["hot"].inTime, f.results["hot"].sent, used)
			is.True(float64(inTime) >= 0.97*float64(sent))  // small accounts are served in time
			is.True(used >= 0.97)                           // the hot account gets what they leave
			is.True(inTime+f.results["hot"].inTime >= 1450) // and is refused at once what it can't get in time
		})
	}
}

// TestSlowAccountBesideOthers guards against sharing by requests instead of work: of two accounts that send too much, one
// sends requests of five times the length. Both get half of the slots' time.
func TestSlowAccountBesideOthers(t *testing.T) {
	is := is.New(t)
	f := newFairTrial(1, 8, 4)
	f.run([]accountLoad{
		{name: "long", tokens: 250, perSecond: steady(40)},
		{name: "short", tokens: 50, perSecond: steady(60)},
	}, 3*time.Second, 23*time.Second)
	long, short := float64(f.results["long"].granted*250), float64(f.results["short"].granted*50)
	t.Logf("tokens of work: long %.0f, short %.0f", long, short)
	is.True(long <= 1.3*short && short <= 1.3*long)
}

// TestBatchOfOneAccountBesideOnlineOfAnother guards against a large job that delays the jobs of other accounts, or online
// requests of any account: one account submits 900 items, whose deadline comes first; a second one sends 4 items per second.
func TestBatchOfOneAccountBesideOnlineOfAnother(t *testing.T) {
	is := is.New(t)
	f := newFairTrial(1, 8, 4) // 32 slots run 46 requests per second
	burst := func(at time.Duration) float64 {
		if at == 500*time.Millisecond {
			return 900 / trialStep.Seconds()
		}
		return 0
	}
	f.run([]accountLoad{
		{name: "large", tokens: 100, perSecond: burst, class: berylpermit.Batch, remaining: 17 * time.Second},
		{name: "other", tokens: 100, perSecond: steady(4), class: berylpermit.Batch, remaining: 18 * time.Second},
		{name: "online", tokens: 100, perSecond: steady(10)},
	}, 0, 12*time.Second)
	other, online := f.results["other"], f.results["online"]
	slices.Sort(other.waits)
	slices.Sort(online.waits)
	t.Logf("other account: %d of %d items, longest wait %v; online: %d of %d in time; large: %d", other.granted, other.sent,
		other.waits[max(len(other.waits)-1, 0)], online.inTime, online.sent, f.results["large"].granted)
	is.True(other.granted >= other.sent-2)                       // the other account's items run,
	is.True(other.waits[len(other.waits)*95/100] <= time.Second) // soon after they are sent
	is.True(online.inTime*100 >= online.sent*99)                 // online requests come before all items
	is.True(f.results["large"].granted >= 200)                   // the large job gets the other slots
}

// TestStepsOfFiveTimesEachFiveSeconds guards against small accounts that are refused at each step of the load: 86 accounts
// of very different sizes send 0.378 times what the slots can run, and 1.85 times for 2.2 s of every 5.2 s. The accounts
// whose demand is less than an equal share are served in time.
func TestStepsOfFiveTimesEachFiveSeconds(t *testing.T) {
	is := is.New(t)
	f := newFairTrial(1, 32, 8) // 256 slots run 366 requests per second
	capacity, weights := 256/callTime.Seconds(), 0.0
	for i := range 86 {
		weights += 1 / float64(i+1)
	}
	var loads []accountLoad
	for i := range 86 {
		mean := capacity / float64(i+1) / weights
		loads = append(loads, accountLoad{name: fmt.Sprint("account", i), tokens: 100, perSecond: func(at time.Duration) float64 {
			if at%(5200*time.Millisecond) < 2200*time.Millisecond {
				return 1.85 * mean
			}
			return 0.378 * mean
		}})
	}
	f.run(loads, 5200*time.Millisecond, 5*5200*time.Millisecond)
	sent, inTime, all, allInTime := 0, 0, 0, 0
	for i, l := range loads {
		r := f.results[l.name]
		all += r.sent
		allInTime += r.inTime
		if 1.85/float64(i+1)/weights <= 1.0/86 {
			sent += r.sent
			inTime += r.inTime
		}
	}
	t.Logf("accounts below an equal share: %d of %d in time; all: %d of %d", inTime, sent, allInTime, all)
	is.True(float64(inTime) >= 0.97*float64(sent))
	is.True(float64(allInTime) >= 0.6*float64(all)) // 0.64 if all slots were always in use
}
