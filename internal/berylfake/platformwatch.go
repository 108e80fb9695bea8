package berylfake

import (
	"encoding/json"
	"io"
	"net/http"
)

// serveWatch streams the changes of a range until the caller goes or the watch is cut.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
	p.counts.add(func(c *PlatformCalls) { c.Watch++ }, len(body))
	if !p.ready(w, r) {
		return
	}
	p.cutRead()
	var ask kvWatch
	if err != nil || json.Unmarshal(body, &ask) != nil || ask.Create == nil {
		writeKVError(w, &kvError{http.StatusBadRequest, grpcInvalid, "no create_request"})
		return
	}
	p.stream(w, r, string(ask.Create.Key), string(ask.Create.RangeEnd), ask.Create.StartRevision)
}

// stream sends changes from a revision on, or from now on when it is zero.
func (p *Platform) stream(w http.ResponseWriter, r *http.Request, start, end string, from int64) {
	dropped := p.script.dropped()
	if from == 0 {
		from = p.store.now().Revision + 1
	}
	if !p.sendWatch(w, kvWatchAnswer{Created: true}) {
		return
	}
	for {
		found, next, changed, ok := p.store.since(start, end, from)
		if !ok {
			p.sendWatch(w, kvWatchAnswer{Canceled: true, CompactRevision: next})
			return
		}
		if len(found) > 0 && (!p.awake(r) || !p.sendWatch(w, kvWatchAnswer{Events: events(found)})) {
			return
		}
		from = next
		select {
		case <-changed:
		case <-dropped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-p.closing:
			return
		}
	}
}

// awake holds a watch's message back while the stand-in is frozen; false means that the caller has gone.
func (p *Platform) awake(r *http.Request) bool {
	for {
		fault, changed := p.script.current()
		if fault.Mode != ModeFreeze {
			return true
		}
		if !p.thaw(r, changed) {
			return false
		}
	}
}

// sendWatch writes one message of a watch.
func (p *Platform) sendWatch(w http.ResponseWriter, message kvWatchAnswer) bool {
	message.Header = p.store.now()
	wrapped := struct {
		Result kvWatchAnswer `json:"result"`
	}{message}
	if json.NewEncoder(w).Encode(wrapped) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// now returns the header of the present revision.
func (s *platformStore) now() kvHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header()
}

// events converts states to events.
func events(found []platformVersion) []kvEvent {
	list := make([]kvEvent, 0, len(found))
	for _, v := range found {
		event := kvEvent{Kv: v.wire()}
		if v.deleted {
			event = kvEvent{Type: "DELETE", Kv: kvRecord{Key: []byte(v.key), ModRevision: v.mod}}
		}
		list = append(list, event)
	}
	return list
}
