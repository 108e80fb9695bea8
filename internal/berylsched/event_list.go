package berylsched

import (
	"sync"
	"time"
)

// eventList queues the events that must not be dropped, without a bound. They come from changes of the configuration and
// the membership, so there are few.
type eventList struct {
	mu   sync.Mutex
	list []ownerEvent
}

func (l *eventList) add(e ownerEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, e)
}

func (l *eventList) take() []ownerEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.list
	l.list = nil
	return list
}

// run takes all listed events, runs them in order and returns their actions.
func (l *eventList) run(o *Owner, now time.Time) []Action {
	var actions []Action
	for _, e := range l.take() {
		actions = append(actions, e(o, now)...)
	}
	return actions
}
