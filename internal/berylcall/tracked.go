package berylcall

// trackedSink wraps a sink and records what it has received.
type trackedSink struct {
	sink    Sink
	started bool
	tokens  int
	err     error
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

func (t *trackedSink) write(body []byte) error {
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
	t.tokens = 0
	t.err = r.Restart()
	return t.err == nil
}
