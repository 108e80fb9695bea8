package berylcall

// trackedSink wraps a sink and remembers what it has got.
type trackedSink struct {
	sink    Sink
	started bool
	tokens  int
	err     error
}

// start passes Start on once; a resumed answer does not start again.
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

// restart takes the answer so far back, and reports whether the sink could.
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
