package berylsched

import (
	"sync"
	"time"
)

// orderList keeps the events that must not be lost; they come from operators and membership, so they are few.
type orderList struct {
	mu   sync.Mutex
	list []command
}

func (l *orderList) add(c command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
}

func (l *orderList) take() []command {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.list
	l.list = nil
	return list
}

// run hands all listed events to the owner.
func (l *orderList) run(o *Owner, now time.Time) []Action {
	var actions []Action
	for _, c := range l.take() {
		actions = append(actions, c(o, now)...)
	}
	return actions
}
