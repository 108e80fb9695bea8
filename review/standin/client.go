//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"time"
)

const (
	callerHost = "nony24.example"
	jobPrefix  = "/pule252/"
)

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

// call makes one call of a client on a new connection.
func (f *fleet) call(h *host, method, path string, header map[string]string, body []byte, timeout time.Duration) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(body))
	must(err)
	req.Host = callerHost
	for k, v := range header {
		req.Header[k] = []string{v}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

type jobItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// newItems makes the items of a batch job.
func newItems(n, outTokens int) []jobItem {
	items := make([]jobItem, n)
	for i := range items {
		id := newID()
		items[i] = jobItem{
			ID: id, Path: jobPrefix + "3/" + id[:4], Body: []byte("the prompt of item " + id), Tokens: 350 + outTokens,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("350,%d", outTokens), "X-Prompt-Prefix": "9c2e41:100," + id[:6] + ":250"},
		}
	}
	return items
}

// submit hands in a batch job.
func (f *fleet) submit(h *host, id string, items []jobItem) int {
	body, err := json.Marshal(map[string]any{"items": items})
	must(err)
	status, _, _, err := f.call(h, http.MethodPost, jobPrefix+id[:6], map[string]string{"X-Request-Id": id, "Content-Type": "application/json"}, body, 4*time.Second)
	f.record.add("submit", "job=%s items=%d at=%s status=%d err=%v", id, len(items), h.name, status, err)
	return status
}

// read reads results of a batch job from a position on.
func (f *fleet) read(h *host, id string, after int, wait bool) (int, page) {
	header := map[string]string{}
	if wait {
		header["X-Wait-Time"] = "1000"
	}
	status, _, data, err := f.call(h, http.MethodGet, fmt.Sprintf("/-/lots/%s?after=%d", id, after), header, nil, 4*time.Second)
	var p page
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(data, &p)
	}
	f.record.add("read", "job=%s after=%d at=%s status=%d results=%d next=%d total=%d bytes=%d err=%v", id, after, h.name, status, len(p.Results), p.Next, p.Total, len(data), err)
	return status, p
}
