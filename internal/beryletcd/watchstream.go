package beryletcd

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// watchBufferBytes is the initial size of the buffer for a watch's messages.
	watchBufferBytes = 4 << 10
	// maxWatchMessageBytes is the size of the largest message that a watch accepts.
	maxWatchMessageBytes = 16 << 20
)

// errNoWatch is the error when an endpoint does not open a watch.
var errNoWatch = errors.New("platform did not open the watch")

// wireWatchAnswer is one message of a watch.
type wireWatchAnswer struct {
	Header          wireHeader `json:"header"`
	Created         bool       `json:"created"`
	Canceled        bool       `json:"canceled"`
	CompactRevision int64      `json:"compact_revision,string"`
	Events          []struct {
		Type string     `json:"type"`
		Kv   wireRecord `json:"kv"`
	} `json:"events"`
}

// watchConn is the connection of one watch; each read has a timeout.
type watchConn struct {
	net.Conn
	mu          sync.Mutex
	readTimeout time.Duration
}

// Read waits for at most the read timeout.
func (c *watchConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	limit := c.readTimeout
	c.mu.Unlock()
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// setReadTimeout sets how long each read may wait.
func (c *watchConn) setReadTimeout(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readTimeout = limit
}

// stream opens a watch after the last revision, at the first endpoint that accepts it, and follows it to its end.
func (w *watch) stream(ctx context.Context) watchEnd {
	c := w.client
	first := int(c.preferred.Load())
	for i := range c.endpoints {
		e := c.endpoints[(first+i)%len(c.endpoints)]
		if !e.allow(time.Now()) {
			continue
		}
		if c.takeBudget(ctx, callWatch) != nil {
			e.cancelCall()
			break
		}
		end, opened := w.followEndpoint(ctx, e)
		if opened {
			e.recordSuccess()
			c.counters.count(callWatch, Done)
			return end
		}
		e.recordFailure(time.Now(), c.jitter(), errNoWatch)
		if ctx.Err() != nil {
			break
		}
	}
	c.counters.count(callWatch, Unavailable)
	return watchBroken
}

// followEndpoint connects to an endpoint and follows a watch there to its end; opened reports whether the service
// opened the watch.
func (w *watch) followEndpoint(ctx context.Context, e *endpoint) (end watchEnd, opened bool) {
	var limited *watchConn
	dial := e.dialer(w.client.config, func(c net.Conn) net.Conn {
		limited = &watchConn{Conn: c, readTimeout: w.client.config.Timeout}
		return limited
	})
	conn, err := dial(e.address, w.client.config.Timeout)
	if err != nil {
		return watchBroken, false
	}
	defer context.AfterFunc(ctx, func() { _ = limited.Close() })()
	return w.openStream(e, conn, limited)
}

// openStream sends the request for a watch over conn and reads its messages; limited is the connection below conn, on
// which read timeouts are set.
func (w *watch) openStream(e *endpoint, conn net.Conn, limited *watchConn) (end watchEnd, opened bool) {
	client := e.client(w.client.config, func(string, time.Duration) (net.Conn, error) { return conn, nil })
	client.StreamResponseBody = true
	client.MaxResponseBodySize = 0
	client.MaxConns = 1
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	defer func() { _ = limited.Close() }()
	request.SetRequestURI(e.base + "/v3/watch")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(w.request())
	w.client.counters.sent.Inc()
	if client.Do(request, response) != nil || response.StatusCode() != fasthttp.StatusOK {
		return watchBroken, false
	}
	return w.readMessages(response, limited)
}

// request returns the request body for all changes after the last revision.
func (w *watch) request() []byte {
	var request struct {
		Create struct {
			Key      []byte `json:"key"`
			RangeEnd []byte `json:"range_end,omitempty"`
			Start    int64  `json:"start_revision,string"`
		} `json:"create_request"`
	}
	request.Create.Key = []byte(w.target.Key)
	if w.target.Prefix {
		request.Create.RangeEnd = prefixEnd(w.target.Key)
	}
	request.Create.Start = w.revision + 1
	body, err := json.Marshal(request)
	if err != nil {
		panic(errors.Wrap(err, "encode a watch"))
	}
	return body
}

// readMessages handles the messages of a watch until the stream ends.
func (w *watch) readMessages(response *fasthttp.Response, conn *watchConn) (end watchEnd, opened bool) {
	lines := bufio.NewScanner(response.BodyStream())
	lines.Buffer(make([]byte, 0, watchBufferBytes), maxWatchMessageBytes)
	for lines.Scan() {
		var message struct {
			Result wireWatchAnswer `json:"result"`
		}
		w.client.counters.readBytes.Add(len(lines.Bytes()))
		if json.Unmarshal(lines.Bytes(), &message) != nil {
			return watchBroken, opened
		}
		if message.Result.Created {
			opened = true
			conn.setReadTimeout(w.idleTimeout)
		}
		if end, over := w.handleMessage(message.Result); over {
			return end, opened
		}
	}
	var timeout net.Error
	switch err := lines.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		return watchHistoryGone, opened
	case opened && errors.As(err, &timeout) && timeout.Timeout():
		return watchIdle, true
	default:
		return watchBroken, opened
	}
}

// handleMessage handles one message; over reports whether the stream ends with it. Of several changes of a key in one
// message, only the last is reported.
func (w *watch) handleMessage(message wireWatchAnswer) (end watchEnd, over bool) {
	restored := w.cluster != 0 && message.Header.ClusterID != w.cluster
	w.cluster = message.Header.ClusterID
	w.client.seen.observe(message.Header, clusterRevision{})
	switch {
	case restored || message.CompactRevision > 0:
		return watchHistoryGone, true
	case message.Canceled:
		return watchBroken, true
	case len(message.Events) == 0:
		return watchBroken, false
	}
	change := Change{Revision: w.revision}
	deleted := map[string]bool{}
	for i := len(message.Events) - 1; i >= 0; i-- {
		event := message.Events[i]
		key := string(event.Kv.Key)
		change.Revision = max(change.Revision, event.Kv.ModRevision)
		if _, newer := deleted[key]; newer {
			continue
		}
		deleted[key] = event.Type == "DELETE"
		if deleted[key] {
			change.Deleted = append(change.Deleted, key)
			continue
		}
		change.Records = append(change.Records, event.Kv.record())
	}
	slices.Reverse(change.Records)
	slices.Reverse(change.Deleted)
	w.deliver(change)
	return watchDelivered, w.single
}
