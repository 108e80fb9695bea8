package berylsched

import "berylroad.example/berylroad/internal/berylpermit"

const (
	// defaultWork stands for the tokens of work of a request that names none.
	defaultWork = 64
	// maxWork bounds the tokens of work that one request counts for, so that a wrong estimate cannot shut an account out.
	maxWork = 1 << 20
	// maxAccountName is the most bytes of an account's name that distinguish it from others.
	maxAccountName = 256
	// minSweepSize is the number of accounts and flows below which idle ones are kept.
	minSweepSize = 64
	// maxIdleFlows is the most flows without waiting requests that are kept because they have received more than others.
	maxIdleFlows = 8192
)

// fairness is the state of sharing one target's slots for one class of work between client accounts, by start-time fair
// queueing in tokens of work after Goyal, Vin and Cheng, "Start-time fair queueing" (1996). Requests that name no account
// are of one account with an empty name.
type fairness struct {
	accounts map[string]*account
	levels   map[int]*level
	// recent is the account that was looked up last.
	recent *account
	// held counts the permits of all accounts, and heldByWaiting those of accounts with waiting requests.
	held          int
	heldByWaiting int
	// waitingAccounts counts the accounts with waiting requests.
	waitingAccounts int
	// entries counts accounts and flows; idle ones are removed when it exceeds sweepAt.
	entries int
	sweepAt int
}

// account is the state of one client account at one target for one class of work.
type account struct {
	fairness *fairness
	name     string
	held     int
	waiting  int
	// flows has one entry for each priority of the account's requests, usually one.
	flows []*flow
}

// level is the state of the requests of one priority.
type level struct {
	priority int
	waiting  [kindCount]int
	// virtualTime is the largest start tag that has been granted since requests began to wait.
	virtualTime float64
	// period numbers the periods in which requests wait; work of earlier ones does not count.
	period uint64
}

// flow is the sequence of an account's requests of one priority.
type flow struct {
	account *account
	level   *level
	// finish is the virtual time at which the work accepted so far would be done, if period is the level's.
	finish  float64
	period  uint64
	waiting int
	queues  [kindCount]flowQueue
}

// flowQueue holds a flow's waiters of one kind of work in the order of their deadlines, and as many places.
type flowQueue struct {
	waiters sortedList[*waiter]
	places  sortedList[*place]
	// next is the index of the next waiter during an iteration over places.
	next int
}

// place is a place in the order in which the accounts' requests are granted. The flow's first waiter gets its first place.
type place struct {
	flow  *flow
	start float64 // virtual time
	seq   uint64
}

// comparePlaces orders places by priority, start and arrival.
func comparePlaces(a, b *place) int {
	switch {
	case a.flow.level != b.flow.level:
		return compareFirst(a.flow.level.priority < b.flow.level.priority)
	case a.start != b.start:
		return compareFirst(a.start < b.start)
	case a.seq != b.seq:
		return compareFirst(a.seq < b.seq)
	}
	return 0
}

// workOf returns the tokens of work that a request counts for.
func workOf(req *berylpermit.Request) float64 {
	prompt, answer := min(max(req.PromptTokens, 0), maxWork), min(max(req.Tokens, 0), maxWork)
	if prompt+answer == 0 {
		return defaultWork
	}
	return float64(min(prompt+answer, maxWork))
}

// account returns the account of that name and creates it if necessary.
func (f *fairness) account(name string) *account {
	name = name[:min(len(name), maxAccountName)]
	if f.recent != nil && f.recent.name == name {
		return f.recent
	}
	a := f.accounts[name]
	if a == nil {
		f.sweep()
		if f.accounts == nil {
			f.accounts = make(map[string]*account)
			f.levels = make(map[int]*level)
		}
		a = &account{fairness: f, name: name}
		f.accounts[name] = a
		f.entries++
	}
	f.recent = a
	return a
}

// flow returns the flow of that account and priority and creates it if necessary.
func (f *fairness) flow(name string, priority int) *flow {
	f.sweep()
	a := f.account(name)
	for _, fl := range a.flows {
		if fl.level.priority == priority {
			return fl
		}
	}
	l := f.levels[priority]
	if l == nil {
		l = &level{priority: priority}
		f.levels[priority] = l
	}
	fl := &flow{account: a, level: l}
	a.flows = append(a.flows, fl)
	f.entries++
	return fl
}

// sweep removes the accounts and flows that have nothing to remember, whenever their number has doubled.
func (f *fairness) sweep() {
	if f.entries < max(f.sweepAt, minSweepSize) {
		return
	}
	f.recent = nil
	idle := f.removeFlows((*flow).isForgotten)
	if idle > maxIdleFlows {
		f.removeFlows(func(fl *flow) bool { return fl.waiting == 0 })
	}
	f.sweepAt = 2 * f.entries
}

// removeFlows removes the flows for which remove returns true, and accounts and levels that are then without use. It
// returns the number of remaining flows without waiting requests.
func (f *fairness) removeFlows(remove func(*flow) bool) int {
	used := make(map[*level]bool)
	idle := 0
	f.entries = 0
	for name, a := range f.accounts {
		kept := a.flows[:0]
		for _, fl := range a.flows {
			if remove(fl) {
				continue
			}
			kept = append(kept, fl)
			used[fl.level] = true
			if fl.waiting == 0 {
				idle++
			}
		}
		clear(a.flows[len(kept):])
		a.flows = kept
		if a.held == 0 && len(kept) == 0 {
			delete(f.accounts, name)
			continue
		}
		f.entries += 1 + len(kept)
	}
	for priority, l := range f.levels {
		if !used[l] {
			delete(f.levels, priority)
		}
	}
	return idle
}

// isForgotten reports whether the flow's state is that of a new one.
func (fl *flow) isForgotten() bool {
	return fl.waiting == 0 && (fl.period != fl.level.period || fl.finish <= fl.level.virtualTime)
}

// hold counts a permit that the account now holds.
func (a *account) hold() {
	a.held++
	a.fairness.held++
	if a.waiting > 0 {
		a.fairness.heldByWaiting++
	}
}

// giveBack counts a permit that the account no longer holds.
func (a *account) giveBack() {
	a.held--
	a.fairness.held--
	if a.waiting > 0 {
		a.fairness.heldByWaiting--
	}
}

// countWaiting adds n, which is 1 or -1, to the number of the flow's waiting requests of a kind of work. Once a level has
// no waiting requests, the work granted so far is forgotten: nobody had to wait for it.
func (fl *flow) countWaiting(k workKind, n int) {
	a, l := fl.account, fl.level
	fl.waiting += n
	l.waiting[k] += n
	if a.waiting == 0 {
		a.fairness.waitingAccounts++
		a.fairness.heldByWaiting += a.held
	}
	if a.waiting += n; a.waiting == 0 {
		a.fairness.waitingAccounts--
		a.fairness.heldByWaiting -= a.held
	}
	if l.waiting == [kindCount]int{} {
		l.period++
		l.virtualTime = 0
	}
}

// nextStart returns the start tag of the flow's next place in a queue.
func (fl *flow) nextStart(k workKind) float64 {
	start := fl.level.virtualTime
	if fl.period == fl.level.period {
		start = max(start, fl.finish)
	}
	if places := &fl.queues[k].places; places.len() > 0 {
		start = max(start, places.at(places.len()-1).start)
	}
	return start
}

// fairShare returns how many of the slots the account would hold if the accounts with waiting requests divided equally
// what the others do not hold, at least one.
func (a *account) fairShare(slots int) float64 {
	f := a.fairness
	competing, heldByOthers := f.waitingAccounts, f.held-f.heldByWaiting
	if a.waiting == 0 {
		competing++
		heldByOthers -= a.held
	}
	return max(float64(slots-heldByOthers)/float64(competing), 1)
}

// isOnly reports whether no other account holds permits or has waiting requests, and the account has one priority.
func (a *account) isOnly() bool {
	f := a.fairness
	return f.held == a.held && f.waitingAccounts == min(a.waiting, 1) && len(a.flows) == 1
}

// available returns how many slots the account can expect to hold while it has requests waiting: its fair share, or what
// the others leave, since they will want again what they hold now.
func (a *account) available(slots int) int {
	left := slots - (a.fairness.held - a.held)
	return max(min(max(int(a.fairShare(slots)), left), slots), 1)
}

// excess returns by how many permits the account would exceed its fair share with one more, or zero. It is zero while no
// other account has requests waiting.
func (a *account) excess(slots int) int {
	f := a.fairness
	if f.waitingAccounts <= 1 && (f.waitingAccounts == 0 || a.waiting > 0) {
		return 0
	}
	return max(a.held+1-int(a.fairShare(slots)), 0)
}

// sharing returns the fairness for a kind of work.
func (t *target) sharing(k workKind) *fairness {
	if k == batchWork {
		return &t.batchSharing
	}
	return &t.onlineSharing
}

// sharedSlots counts the slots that the accounts divide: batch work divides what online work does not use.
func (t *target) sharedSlots(k workKind) int {
	if k == batchWork {
		return max(t.throughput.slots-t.onlineSharing.held, 0)
	}
	return t.throughput.slots
}
