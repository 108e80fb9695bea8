package berylquarantine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

const (
	// gatherTime is how long the calls that broke off in one crash are gathered before the upstream is looked at. By then
	// its listening socket is closed too.
	gatherTime = 20 * time.Millisecond
	// crashCheckTimeout bounds the look at an upstream.
	crashCheckTimeout = 300 * time.Millisecond
	// maxInquiries bounds the inquiries of one host that are under way at the same time.
	maxInquiries = 4
	// claimInterval is the time between two attempts of one host to claim the same trial.
	claimInterval = 2 * time.Second
	// claimTimeout bounds the claim of a trial.
	claimTimeout = time.Second
	// minRetryAfter is the shortest Retry-After for a quarantined prompt, finalRetryAfter the one after the last trial.
	minRetryAfter   = 2 * time.Second
	finalRetryAfter = 10 * time.Minute
)

// ErrUnknownVerdict means that no verdict in force has the given key.
var ErrUnknownVerdict = errors.New("no quarantined prompt parts have this key")

// Peers reaches the other hosts.
type Peers interface {
	// Others returns the names of the other live hosts. Those that are close to each other stand beside each other.
	Others() []string
	// Ask sends a message to a host and waits for its evidence.
	Ask(ctx context.Context, host string, message Message) (Evidence, error)
}

// Config configures a Quarantine. All fields must be set, except where a comment says otherwise.
type Config struct {
	// Host is this host's name.
	Host string
	// Store keeps the verdicts.
	Store berylstore.Store
	// Peers reaches the other hosts; it may be nil if there are none.
	Peers Peers
	// HasCrashed looks at an upstream that has broken a call off. It returns true if that run of the upstream has ended, and
	// false if it has not or that can't be told.
	HasCrashed func(ctx context.Context, upstream berylroute.Upstream) bool
	// Rank returns the number of live hosts that come before this one for a key.
	Rank func(key string) int
	// Sharing lets hosts follow the store for each other; it may be nil.
	Sharing *berylstore.WatchSharing
	// Log receives a line for each accusation, verdict, trial and lifted verdict.
	Log logrus.FieldLogger
	// Metrics receives counts; nil records none.
	Metrics *metrics.Set
}

// Quarantine keeps requests with prompt parts that crash upstreams away from upstreams. A nil *Quarantine lets everything
// pass.
type Quarantine struct {
	Config
	follower berylstore.Follower

	mu       sync.Mutex
	table    Table
	verdicts verdicts
	// checks holds the crashes that are being looked at, by the run of the upstream.
	checks map[string]*crashCheck
	// lifted marks the lifted verdicts that are still to be deleted from the store, by key.
	lifted map[string]bool
	// own marks the verdicts that this host has passed, by key.
	own     map[string]bool
	changed chan struct{}

	inquiries chan struct{}
	tasks     sync.WaitGroup  // not a conc.WaitGroup, which would hold a panic back until Wait
	context   context.Context // set by New, cancelled when Run ends
	cancel    context.CancelFunc
}

// crashCheck is a crash of an upstream that is being looked at.
type crashCheck struct {
	upstream berylroute.Upstream
	breaks   []Break
}

// New returns a quarantine without verdicts. Run brings in those of the store.
func New(config Config) *Quarantine {
	q := &Quarantine{
		Config: config, checks: make(map[string]*crashCheck), lifted: make(map[string]bool), own: make(map[string]bool),
		changed: make(chan struct{}, 1), inquiries: make(chan struct{}, maxInquiries),
	}
	q.context, q.cancel = context.WithCancel(context.Background())
	q.follower = berylstore.Follower{
		Store: config.Store, Prefix: Prefix, SharedWait: sharedWait, Log: config.Log, Sharing: config.Sharing, Reset: q.reset, Apply: q.apply,
	}
	if q.Metrics != nil {
		q.Metrics.NewGauge("berylroad_quarantine_verdicts", func() float64 {
			q.mu.Lock()
			defer q.mu.Unlock()
			return float64(len(q.verdicts.byKey))
		})
	}
	return q
}

// Run follows the verdicts in the store and writes new ones until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { q.follower.Run(ctx) })
	group.Go(func() { q.persist(ctx) })
	group.Wait()
	q.mu.Lock() // no task starts after this
	q.cancel()
	q.mu.Unlock()
	q.tasks.Wait()
}

// Follower returns the follower of the verdicts in the store.
func (q *Quarantine) Follower() *berylstore.Follower {
	return &q.follower
}

// count adds one to a counter.
func (q *Quarantine) count(name string) {
	if q.Metrics != nil {
		q.Metrics.GetOrCreateCounter(fmt.Sprintf("berylroad_quarantine_%s_total", name)).Inc()
	}
}

// Refusal returns the refusal of a prompt with quarantined parts, or nil if it may be sent, maybe as a trial.
func (q *Quarantine) Refusal(prompt Prompt) *beryloutcome.Refusal {
	if q.isInactive(prompt) {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if v := q.verdicts.match(prompt.keys()); v != nil && !v.mayClaim(now, prompt) {
		return q.refuse(v, now, prompt)
	}
	return nil
}

// HoldsBack reports whether Refusal would refuse a prompt.
func (q *Quarantine) HoldsBack(prompt Prompt) bool {
	if q.isInactive(prompt) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.verdicts.match(prompt.keys())
	return v != nil && !v.mayClaim(time.Now(), prompt)
}

// isInactive reports whether there is nothing to look for in a prompt.
func (q *Quarantine) isInactive(prompt Prompt) bool {
	return q == nil || q.verdicts.count.Load() == 0 || prompt.IsEmpty()
}

// Admit returns nil if a prompt may be sent to an upstream now. If it holds quarantined parts and a trial of them is due, Admit
// claims the trial: the fleet sends one request as a trial.
func (q *Quarantine) Admit(ctx context.Context, prompt Prompt) *beryloutcome.Refusal {
	if q.isInactive(prompt) {
		return nil
	}
	q.mu.Lock()
	now := time.Now()
	v := q.verdicts.match(prompt.keys())
	if v == nil {
		q.mu.Unlock()
		return nil
	}
	if !v.mayClaim(now, prompt) {
		defer q.mu.Unlock()
		return q.refuse(v, now, prompt)
	}
	v.claimedAt, v.trialItem = now, "" // the trial before has ended, whatever became of it
	if v.isOpen {
		v.isOpen, v.trialItem = false, prompt.Item
		q.mu.Unlock()
		return nil
	}
	claim, revision := v.Verdict, v.revision
	q.mu.Unlock()
	if q.claimTrial(ctx, claim, revision) {
		q.mu.Lock()
		v.trialItem = prompt.Item
		q.mu.Unlock()
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refuse(v, now, prompt)
}

// mayClaim reports whether this host may try to claim a trial for a prompt.
func (v *heldVerdict) mayClaim(now time.Time, prompt Prompt) bool {
	if v.isOpen {
		return now.Sub(v.claimedAt) >= claimInterval
	}
	due, more := v.trialDue(prompt)
	return more && v.revision != 0 && !now.Before(due) && now.Sub(v.claimedAt) >= claimInterval
}

// claimTrial counts a trial in the store, which decides which host sends it. A claim whose outcome is unknown sends nothing.
func (q *Quarantine) claimTrial(ctx context.Context, claim Verdict, revision int64) bool {
	claim.Trials++
	claim.DecidedAtMillis = time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	key := claim.Key()
	result := q.Store.Commit(ctx, berylstore.Txn{
		Checks: []berylstore.Check{{Key: Prefix + key, Revision: revision}},
		Puts:   []berylstore.Put{{Key: Prefix + key, Value: encode(claim)}},
	})
	log := q.Log.WithFields(logrus.Fields{"quarantine": key, "trial": claim.Trials, "status": result.Status.String()})
	if result.Status != berylstore.Done {
		log.Info("quarantine: trial not claimed")
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.verdicts.put(claim, result.Revision, time.Now())
	log.Warn("quarantine: trial")
	q.count("trials")
	return true
}

// refuse returns the refusal of a prompt for a verdict. The caller holds mu.
func (q *Quarantine) refuse(v *heldVerdict, now time.Time, prompt Prompt) *beryloutcome.Refusal {
	q.count("refusals")
	wait := finalRetryAfter
	if due, more := v.trialDue(prompt); more {
		wait = max(due.Sub(now), minRetryAfter)
	}
	return &beryloutcome.Refusal{
		Status: http.StatusServiceUnavailable, Code: beryloutcome.CodeNotRun, RetryAfter: wait, Param: "prompt",
		Message: "quarantine " + v.Key() + ": upstreams have crashed on such requests; the request was not run",
	}
}

// RecordBegin records that an upstream of the service has begun to answer a prompt. It lifts the verdicts on its parts, but not
// those on the request itself.
func (q *Quarantine) RecordBegin(service string, prompt Prompt) {
	if q == nil || prompt.IsEmpty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordBegin(time.Now(), service, prompt)
	for v := q.verdicts.clearedBy(prompt.Parts); v != nil; v = q.verdicts.clearedBy(prompt.Parts) {
		q.lift(v, "an upstream has begun to answer them")
	}
}

// RecordSound records that an upstream has answered a request without a crash, or gone on for so long that it would have crashed.
// It lifts the verdicts on the request.
func (q *Quarantine) RecordSound(prompt Prompt) {
	if q == nil || len(prompt.Requests) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RecordSound(time.Now(), prompt)
	for v := q.verdicts.match(prompt.Requests); v != nil; v = q.verdicts.match(prompt.Requests) {
		q.lift(v, "an upstream has answered the request")
	}
}

// RecordNotRun records that an item was not run by the upstream that it was sent to. If it was a trial, the next prompt takes its
// place.
func (q *Quarantine) RecordNotRun(prompt Prompt) {
	if q.isInactive(prompt) || prompt.Item == "" {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if v := q.verdicts.match(prompt.keys()); v != nil && v.trialItem == prompt.Item {
		v.trialItem, v.isOpen = "", true
		q.Log.WithFields(logrus.Fields{"quarantine": v.Key(), "trial": v.Trials}).Info("quarantine: trial not run, another prompt takes its place")
	}
}

// Lift lifts a verdict at an operator's request. It returns ErrUnknownVerdict if there is none with this key.
func (q *Quarantine) Lift(key string) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	v := q.verdicts.byKey[key]
	if v == nil {
		return errors.WithHint(ErrUnknownVerdict, "see the keys with `berylroad entry status`")
	}
	q.lift(v, "an operator asked for it")
	return nil
}

// lift removes a verdict here, at the other hosts and in the store. The caller holds mu.
func (q *Quarantine) lift(v *heldVerdict, why string) {
	key := v.Key()
	q.remove(key)
	q.lifted[key] = true
	q.signal()
	q.Log.WithFields(logrus.Fields{"quarantine": key, "prompt-parts": strings.Join(v.Parts, ","), "trials": v.Trials, "reason": why}).Warn("quarantine: lifted")
	q.start(func() { q.broadcast(q.context, Message{Lifted: []string{key}}) })
}

// remove removes a verdict and the evidence for it. The caller holds mu.
func (q *Quarantine) remove(key string) {
	if v := q.verdicts.byKey[key]; v != nil {
		q.table.Forget(v.Parts)
	}
	q.verdicts.remove(key)
	delete(q.own, key)
}

// start runs a task that Run waits for. The caller holds mu.
func (q *Quarantine) start(task func()) {
	if q.context.Err() == nil {
		q.tasks.Go(task)
	}
}

// RecordBreak records that a call broke off before its upstream had begun to answer, or soon after it had; then the prompt has no
// parts. If the upstream has crashed, the other
// hosts are asked for their evidence, and a verdict may follow.
func (q *Quarantine) RecordBreak(upstream berylroute.Upstream, prompt Prompt, sentAt time.Time) {
	if q == nil || prompt.IsEmpty() {
		return
	}
	b := Break{Crash: fmt.Sprintf("%s/%d", upstream.ID, upstream.StartedAtMillis), Prompt: prompt, SentAt: sentAt, BrokeAt: time.Now()}
	q.mu.Lock()
	defer q.mu.Unlock()
	if check := q.checks[b.Crash]; check != nil {
		check.breaks = append(check.breaks, b)
		return
	}
	q.checks[b.Crash] = &crashCheck{upstream: upstream, breaks: []Break{b}}
	q.start(func() { q.checkCrash(b.Crash) })
}

// checkCrash finds out whether an upstream has crashed and, if so, weighs the calls that broke off.
func (q *Quarantine) checkCrash(crash string) {
	time.Sleep(gatherTime)
	ctx, cancel := context.WithTimeout(q.context, crashCheckTimeout)
	defer cancel()
	q.mu.Lock()
	check := q.checks[crash]
	q.mu.Unlock()
	crashed := q.HasCrashed(ctx, check.upstream)
	q.mu.Lock()
	delete(q.checks, crash)
	q.mu.Unlock()
	if !crashed {
		return
	}
	q.inquiries <- struct{}{}
	defer func() { <-q.inquiries }()
	q.inquire(check)
}

// inquire asks the other hosts for their evidence on the parts of broken calls, and passes the verdicts that follow.
func (q *Quarantine) inquire(check *crashCheck) {
	message := q.accuse(check)
	replies := q.broadcast(q.context, message)
	verdicts := q.decide(check, replies)
	if len(verdicts) > 0 {
		q.signal()
		q.broadcast(q.context, Message{Verdicts: verdicts})
	}
}

// accuse counts the crash against the parts of the broken calls and returns the message to the other hosts.
func (q *Quarantine) accuse(check *crashCheck) Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	var parts []string
	for _, b := range check.breaks {
		q.table.RecordBreak(b)
		parts = append(parts, b.Prompt.keys()...)
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	q.count("accusations")
	q.Log.WithFields(logrus.Fields{
		"upstream": check.upstream.ID, "calls": len(check.breaks), "prompt-parts": strings.Join(parts, ","),
	}).Info("quarantine: upstream crashed with unanswered calls")
	return Message{Service: check.upstream.Service, Parts: parts, Evidence: q.table.Evidence(time.Now(), check.upstream.Service, parts)}
}

// decide weighs the calls that broke off in a crash with the evidence of all hosts.
func (q *Quarantine) decide(check *crashCheck, replies Evidence) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.table.Merge(now, replies)
	begins := append(replies.SinceBegins, q.table.Evidence(now, check.upstream.Service, nil).SinceBegins...)
	times := make([]time.Time, len(begins))
	for i, age := range begins {
		times[i] = now.Add(-age)
	}
	var passed []Verdict
	for _, b := range check.breaks {
		crashing := q.table.CrashingParts(now, b, times)
		if len(crashing) == 0 || q.verdicts.match(b.Prompt.keys()) != nil {
			continue
		}
		v := Verdict{Parts: crashing, Host: q.Host, DecidedAtMillis: now.UnixMilli(), Crashes: q.table.crashesOf(crashing), Trials: q.verdicts.trialsOf(crashing)}
		if !q.verdicts.put(v, 0, now) {
			q.Log.WithField("prompt-parts", strings.Join(crashing, ",")).Error("quarantine: too many verdicts, this one is not passed")
			continue
		}
		q.own[v.Key()] = true
		q.count("verdicts_passed")
		q.Log.WithFields(logrus.Fields{
			"quarantine": v.Key(), "prompt-parts": strings.Join(crashing, ","), "crashes": strings.Join(v.Crashes, ","),
		}).Warn("quarantine: verdict passed")
		passed = append(passed, v)
	}
	return passed
}

// signal wakes persist.
func (q *Quarantine) signal() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
