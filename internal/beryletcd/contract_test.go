package beryletcd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylfake"
)

const (
	// longTimeout is much longer than any answer in these tests takes.
	longTimeout = 20 * time.Second
	// shortTimeout is for cases in which no answer ever arrives.
	shortTimeout = 50 * time.Millisecond
)

// contract runs the scripts in testdata/contract against one fake platform and its clients.
type contract struct {
	t           *testing.T
	fake        *berylfake.Platform
	client      *beryletcd.Client
	shortClient *beryletcd.Client
	lease       int64
}

// TestContract checks the client and the fake platform against the contract of the gateway, including faults.
func TestContract(t *testing.T) {
	datadriven.Walk(t, "testdata/contract", func(t *testing.T, path string) {
		is := is.New(t)
		fake, err := berylfake.StartPlatform("127.0.0.1:0")
		is.NoErr(err)
		defer fake.Close()
		c := &contract{t: t, fake: fake, client: newClient(t, longTimeout, fake.URL()), shortClient: newClient(t, shortTimeout, fake.URL())}
		datadriven.RunTest(t, path, c.run)
	})
}

// newClient returns a client for the endpoints.
func newClient(t *testing.T, timeout time.Duration, endpoints ...string) *beryletcd.Client {
	t.Helper()
	client, err := beryletcd.New(beryletcd.Config{Endpoints: endpoints, Timeout: timeout, Seed: 1})
	is.New(t).NoErr(err)
	t.Cleanup(client.Close)
	return client
}

// run executes one directive of a script and describes its result.
func (c *contract) run(t *testing.T, d *datadriven.TestData) string {
	ctx := context.Background()
	client := c.client
	if d.HasArg("hasty") {
		client = c.shortClient
	}
	var key, value string
	var expect, lease int64
	var limit int
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "value", &value)
	d.MaybeScanArgs(t, "expect", &expect)
	d.MaybeScanArgs(t, "limit", &limit)
	if d.HasArg("lease") {
		lease = c.lease
	}
	switch d.Cmd {
	case "fault":
		return c.fault(d.Input, d.HasArg("keep"))
	case "get":
		return describeRead(client.Get(ctx, key))
	case "list":
		from := ""
		d.MaybeScanArgs(t, "from", &from)
		return describeListing(client.List(ctx, key, limit, from))
	case "swap":
		return describeOutcome(client.Swap(ctx, key, []byte(value), expect, lease))
	case "swap-settled":
		return describeOutcome(client.SwapSettled(ctx, key, []byte(value), expect, lease))
	case "remove":
		return describeOutcome(client.Remove(ctx, key, expect))
	case "grant":
		granted := client.Grant(ctx, time.Minute)
		c.lease = granted.ID
		return fmt.Sprintf("%s ttl=%s\n", granted.Status, granted.TTL)
	case "keep-alive":
		kept := client.KeepAlive(ctx, c.lease)
		return fmt.Sprintf("%s ttl=%s gone=%t\n", kept.Status, kept.TTL, kept.Err == beryletcd.ErrLeaseGone)
	case "revoke":
		return fmt.Sprintf("%s\n", client.Revoke(ctx, c.lease).Status)
	default:
		t.Fatalf("unknown directive %s", d.Cmd)
		return ""
	}
}

// fault sets the fault that the JSON describes. It replaces the clients, so that their breakers are closed, unless keep
// is set.
func (c *contract) fault(text string, keep bool) string {
	var f berylfake.PlatformFault
	if text != "" {
		is.New(c.t).NoErr(json.Unmarshal([]byte(text), &f))
	}
	is.New(c.t).NoErr(c.fake.SetFault(f))
	if keep {
		return ""
	}
	c.client, c.shortClient = newClient(c.t, longTimeout, c.fake.URL()), newClient(c.t, shortTimeout, c.fake.URL())
	return ""
}

// describeRead formats the result of a Get.
func describeRead(r beryletcd.Read) string {
	if r.Status != beryletcd.Done {
		return fmt.Sprintf("%s\n", r.Status)
	}
	return fmt.Sprintf("%s %s\n", r.Status, describeRecord(r.Record))
}

// describeListing formats the result of a List.
func describeListing(l beryletcd.Listing) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s next=%q\n", l.Status, l.Next)
	for _, r := range l.Records {
		fmt.Fprintln(&text, describeRecord(r))
	}
	return text.String()
}

// describeOutcome formats the result of a write.
func describeOutcome(o beryletcd.Outcome) string {
	switch o.Status {
	case beryletcd.Done:
		return fmt.Sprintf("%s revision=%d\n", o.Status, o.Revision)
	case beryletcd.Conflict:
		return fmt.Sprintf("%s current: %s\n", o.Status, describeRecord(o.Current))
	default:
		return fmt.Sprintf("%s\n", o.Status)
	}
}

// describeRecord formats a record.
func describeRecord(r beryletcd.Record) string {
	if r.Revision == 0 {
		return "absent"
	}
	return fmt.Sprintf("%s=%s revision=%d leased=%t", r.Key, r.Value, r.Revision, r.Lease != 0)
}
