package berylcall

import "berylroad.example/berylroad/internal/berylresponse"

// trackedSink wraps a sink and records what it has received.
type trackedSink struct {
	sink    Sink
	started bool
	tokens  int
	err     error
	// memory is where the kept bytes of a sink that is a Keeper are reserved.
	memory *berylresponse.Reservation
	kept   int
}

// start calls the sink's Start once. A resumed answer does not start again.
func (t *trackedSink) start(status int, contentType string) error {
	if t.started {
		return nil
	}
	t.started = true
	t.err = t.sink.Start(status, contentType)
	return t.err
}

// write passes bytes to the sink. It fails without an error of the sink if there is no memory to keep them.
func (t *trackedSink) write(body []byte) error {
	if k, ok := t.sink.(Keeper); ok && k.KeepsAnswer() {
		t.kept += len(body)
		if !t.memory.Cover(t.kept) {
			return berylresponse.ErrNoRoom
		}
	}
	t.err = t.sink.Write(body)
	return t.err
}

// restart makes the sink discard the partial answer and reports whether it could.
func (t *trackedSink) restart() bool {
	r, ok := t.sink.(Restarter)
	if !ok {
		return false
	}
	t.started = false
	t.tokens, t.kept = 0, 0
	t.err = r.Restart()
	return t.err == nil
}
