package berylsched_test

import (
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryloutcome"
	"berylroad.example/berylroad/internal/berylpermit"
	"berylroad.example/berylroad/internal/berylsched"
)

// simulation sends arrivals to one Owner and ends each call after its simulated duration, on a clock of its own.
type simulation struct {
	owner        berylsched.Owner
	now          time.Time
	meanCallTime time.Duration
	seq          uint64
	arrived      map[uint64]time.Time
	endsAt       map[uint64]time.Time
	granted      map[uint64]string
	waits        []time.Duration
	refused      []time.Duration // time from the arrival to the refusal
}

func newSimulation(upstreams []berylsched.Upstream, busy time.Duration) *simulation {
	s := &simulation{now: time.Unix(1000, 0), meanCallTime: busy, arrived: make(map[uint64]time.Time), endsAt: make(map[uint64]time.Time), granted: make(map[uint64]string)}
	s.configure(upstreams)
	return s
}

func (s *simulation) configure(upstreams []berylsched.Upstream) {
	s.record(s.owner.Configure(s.now, berylsched.Config{LongShare: 0.5, Upstreams: upstreams}))
	var names []string
	for _, u := range upstreams {
		names = append(names, u.Name)
	}
	s.record(s.owner.SetOwned(s.now, names))
}

func (s *simulation) record(actions []berylsched.Action) {
	for _, a := range actions {
		if a.Kind != berylsched.ActionReply {
			continue
		}
		seq := a.Reply.ID.Seq
		switch a.Reply.Verdict {
		case berylpermit.Granted:
			s.waits = append(s.waits, s.now.Sub(s.arrived[seq]))
			s.endsAt[seq], s.granted[seq] = s.now.Add(s.callTime(seq)), a.Reply.Upstream
		case berylpermit.Refused:
			s.refused = append(s.refused, s.now.Sub(s.arrived[seq]))
		}
	}
}

// callTime returns the duration of a call. Durations are spread evenly from a quarter to seven quarters of the mean,
// since the lengths of answers vary as well.
func (s *simulation) callTime(seq uint64) time.Duration {
	return s.meanCallTime/4 + time.Duration(seq*7919%1000)*s.meanCallTime*3/2/1000
}

// run sends evenly spaced arrivals for a time span and continues until all calls have ended.
func (s *simulation) run(span time.Duration, perSecond int, maxQueueWait time.Duration) {
	const step = time.Millisecond
	interval := time.Second / time.Duration(perSecond)
	next, until := s.now, s.now.Add(span)
	for s.now.Before(until) || len(s.endsAt) > 0 {
		for !next.After(s.now) && s.now.Before(until) {
			s.seq++
			s.arrived[s.seq] = s.now
			id := berylpermit.ID{Host: "h", Boot: 1, Seq: s.seq}
			s.record(s.owner.Request(s.now, berylpermit.Request{ID: id, Target: "svc", Remaining: 5 * time.Second, Queue: true, MaxQueueWait: maxQueueWait}))
			next = next.Add(interval)
		}
		for seq, end := range s.endsAt {
			if !end.After(s.now) {
				delete(s.endsAt, seq)
				id := berylpermit.ID{Host: "h", Boot: 1, Seq: seq}
				s.record(s.owner.Release(s.now, berylpermit.Release{ID: id, Upstream: s.granted[seq], Report: berylpermit.Report{
					Kind: beryloutcome.Answered, TimeToFirstToken: 30 * time.Millisecond, Tokens: 30, InterTokenLatency: 20 * time.Millisecond, HeldFor: s.callTime(seq),
				}}))
			}
		}
		s.now = s.now.Add(step)
		if s.now.UnixMilli()%25 == 0 {
			s.record(s.owner.Tick(s.now))
		}
	}
}

func upstreams(n, slots int) []berylsched.Upstream {
	var list []berylsched.Upstream
	for i := range n {
		list = append(list, berylsched.Upstream{Name: string(rune('a' + i)), Slots: slots, Targets: []string{"svc"}})
	}
	return list
}

// TestReplicasLostUnderPeak removes two thirds of the upstreams while online requests arrive at twice the rate that the
// rest can serve. The remaining slots must be fully used, the served requests must start in time, and the others must be
// refused at once.
func TestReplicasLostUnderPeak(t *testing.T) {
	is := is.New(t)
	const (
		firstEvent   = 300 * time.Millisecond // by when the first event of an answer is due after the arrival
		engineTime   = 30 * time.Millisecond
		maxQueueWait = firstEvent / 2
	)
	s := newSimulation(upstreams(6, 8), 700*time.Millisecond)
	s.run(2*time.Second, 40, maxQueueWait) // below capacity, so that the owner learns how long calls take
	s.configure(upstreams(2, 8))
	s.waits, s.refused = nil, nil
	s.run(10*time.Second, 46, maxQueueWait) // 16 slots and a mean of 700 ms can serve 22.9 per second
	slices.Sort(s.waits)
	late := len(s.waits) - sort.Search(len(s.waits), func(i int) bool { return s.waits[i] > firstEvent-engineTime })
	t.Logf("served %d, late %d, refused %d", len(s.waits), late, len(s.refused))
	is.True(late*20 <= len(s.waits))      // 95 % of the served requests get their first event in time
	is.True(len(s.waits) >= 229*95/100)   // 95 % of what the slots can serve in 10 s is served
	is.True(len(s.refused) >= 460-229-30) // requests that can't be served are refused
	for _, after := range s.refused {
		is.Equal(after, time.Duration(0)) // on arrival, without a wait in the queue
	}
}
