package berylfake

import (
	"encoding/json"
	"io"
	"net/http"
)

// serveWatch streams the changes of a range until the caller disconnects or the script closes the watch.
func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPlatformBody))
	p.counts.add(func(c *PlatformCalls) { c.Watch++ }, len(body))
	if !p.applyCallFault(w, r) {
		return
	}
	p.abortReadIfScripted()
	var req kvWatchRequest
	if err != nil || json.Unmarshal(body, &req) != nil || req.Create == nil {
		writeKVError(w, &kvError{http.StatusBadRequest, grpcInvalid, "no create_request"})
		return
	}
	p.stream(w, r, string(req.Create.Key), string(req.Create.RangeEnd), req.Create.StartRevision)
}

// stream sends the changes from a revision on, or only later changes if the revision is zero.
func (p *Platform) stream(w http.ResponseWriter, r *http.Request, start, end string, from int64) {
	dropped := p.script.dropped()
	if from == 0 {
		from = p.store.currentHeader().Revision + 1
	}
	if !p.sendWatch(w, kvWatchResponse{Created: true}) {
		return
	}
	for {
		found, next, changed, ok := p.store.changesSince(start, end, from)
		if !ok {
			p.sendWatch(w, kvWatchResponse{Canceled: true, CompactRevision: next})
			return
		}
		if len(found) > 0 && (!p.waitUntilUnfrozen(r) || !p.sendWatch(w, kvWatchResponse{Events: events(found)})) {
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

// waitUntilUnfrozen delays a message of a watch while the stand-in is frozen. It returns false if the caller has disconnected
// or the stand-in is closing.
func (p *Platform) waitUntilUnfrozen(r *http.Request) bool {
	for {
		fault, changed := p.script.current()
		if fault.Mode != ModeFreeze {
			return true
		}
		if !p.waitForFaultChange(r, changed) {
			return false
		}
	}
}

// sendWatch writes one message of a watch.
func (p *Platform) sendWatch(w http.ResponseWriter, message kvWatchResponse) bool {
	message.Header = p.store.currentHeader()
	wrapped := struct {
		Result kvWatchResponse `json:"result"`
	}{message}
	if json.NewEncoder(w).Encode(wrapped) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// currentHeader locks the store and returns a response header with the present revision.
func (s *platformStore) currentHeader() kvHeader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.header()
}

// events converts versions to watch events.
func events(found []platformVersion) []kvEvent {
	list := make([]kvEvent, 0, len(found))
	for _, v := range found {
		event := kvEvent{Kv: v.record()}
		if v.deleted {
			event = kvEvent{Type: "DELETE", Kv: kvRecord{Key: []byte(v.key), ModRevision: v.mod}}
		}
		list = append(list, event)
	}
	return list
}
