package berylsched

import (
	"sync"
	"time"
)

// eventList keeps the events that must not be lost; they come from operators and membership, so they are few.
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

// run hands all listed events to the owner.
func (l *eventList) run(o *Owner, now time.Time) []Action {
	var actions []Action
	for _, e := range l.take() {
		actions = append(actions, e(o, now)...)
	}
	return actions
}
