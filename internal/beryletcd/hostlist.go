package beryletcd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxHosts is the largest number of hosts accepted in a list.
	maxHosts = 10_000
	// maxHostNameBytes is the longest accepted host name.
	maxHostNameBytes = 255
)

// HostState is the state of a host in the platform's host list.
type HostState string

const (
	// HostLive means that the host is in service.
	HostLive HostState = "live"
	// HostLeaving means that the host is being taken out of service.
	HostLeaving HostState = "leaving"
)

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	// Name identifies the host; no two entries of a list have the same one.
	Name string `json:"name"`
	// State is HostLive or HostLeaving.
	State HostState `json:"state"`
}

// HostList reads the platform's list of hosts. The list may lag behind the actual state of the hosts.
type HostList struct {
	// URL is the full URL of the list.
	URL string
	// Timeout bounds one read; zero means 2 s.
	Timeout time.Duration
	// Client makes the HTTP requests; its zero value is usable.
	Client fasthttp.Client
}

// Hosts reads the list; it fails when there is no answer or the answer is not a valid list.
func (l *HostList) Hosts(ctx context.Context) ([]ListedHost, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(l.URL)
	if err := l.Client.DoDeadline(request, response, l.deadline(ctx)); err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, errors.Newf("host list answered with status %d", status)
	}
	if len(response.Body()) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	var hosts []ListedHost
	if err := json.Unmarshal(response.Body(), &hosts); err != nil {
		return nil, errors.Wrap(err, "host list")
	}
	if err := checkHosts(hosts); err != nil {
		return nil, err
	}
	return hosts, nil
}

// deadline returns the earlier of the context's deadline and the end of the timeout.
func (l *HostList) deadline(ctx context.Context) time.Time {
	timeout := l.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	limit := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		return d
	}
	return limit
}

// checkHosts rejects a list that is too long, has invalid or duplicate names or unknown states.
func checkHosts(hosts []ListedHost) error {
	if len(hosts) > maxHosts {
		return errors.Newf("host list names %d hosts, more than %d", len(hosts), maxHosts)
	}
	seen := map[string]bool{}
	for _, h := range hosts {
		switch {
		case h.Name == "" || len(h.Name) > maxHostNameBytes:
			return errors.Newf("host list has a name of %d bytes", len(h.Name))
		case h.State != HostLive && h.State != HostLeaving:
			return errors.Newf("host list gives host %q the state %q", h.Name, h.State)
		case seen[h.Name]:
			return errors.Newf("host list names host %q twice", h.Name)
		}
		seen[h.Name] = true
	}
	return nil
}
