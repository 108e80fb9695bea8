package beryletcd_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylfake"
)

// startPlatform starts a fake platform.
func startPlatform(t *testing.T) *berylfake.Platform {
	t.Helper()
	fake, err := berylfake.StartPlatform("127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(fake.Close)
	return fake
}

// TestAnswers checks which status the client returns for each malformed or unusual answer in testdata/answers.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		var status int
		d.ScanArgs(t, "status", &status)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if d.HasArg("cut") {
				w.Header().Set("Content-Length", "1000")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, d.Input)
			for n := 0; d.HasArg("huge") && n < 9; n++ {
				_, _ = w.Write(bytes.Repeat([]byte(" "), 1<<20))
			}
		}))
		defer server.Close()
		client := newClient(t, longTimeout, server.URL)
		ctx := context.Background()
		return fmt.Sprintf("swap %s, get %s, list %s, grant %s, revoke %s\n",
			client.Swap(ctx, "/a", []byte("x"), 0, 0).Status, client.Get(ctx, "/a").Status,
			newClient(t, longTimeout, server.URL).List(ctx, "/a", 1, "").Status,
			newClient(t, longTimeout, server.URL).Grant(ctx, time.Minute).Status,
			newClient(t, longTimeout, server.URL).Revoke(ctx, 1).Status)
	})
}

// TestEndpoints checks that the next endpoint is tried when one fails, but that no write is sent twice.
func TestEndpoints(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	frozen, up := startPlatform(t), startPlatform(t)
	is.NoErr(frozen.SetFault(berylfake.PlatformFault{Mode: berylfake.ModeFreeze}))
	client := newClient(t, shortTimeout, frozen.URL(), up.URL())
	is.Equal(client.Swap(ctx, "/a", []byte("x"), 0, 0).Status, beryletcd.Unknown)
	is.Equal(up.Calls().Txn, 0) // the write may have taken effect at the first endpoint, so it is not sent to the second
	is.NoErr(frozen.SetFault(berylfake.PlatformFault{Mode: berylfake.ModeRefuse}))
	client = newClient(t, longTimeout, frozen.URL(), up.URL())
	is.Equal(client.Get(ctx, "/a").Status, beryletcd.Done)
	is.Equal(client.Swap(ctx, "/a", []byte("x"), 0, 0).Status, beryletcd.Done)
	is.Equal(up.Calls().Txn, 1)
	_, err := beryletcd.New(beryletcd.Config{Endpoints: []string{"10.0.0.1:2379"}})
	is.True(err != nil) // an endpoint without a scheme is not a base URL
	_, err = beryletcd.New(beryletcd.Config{})
	is.True(err != nil) // at least one endpoint is required
}

// TestBreaker checks that the client stops calling a service that fails, and tries again later.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fake := startPlatform(t)
	client := newClient(t, longTimeout, fake.URL())
	is.NoErr(fake.SetFault(berylfake.PlatformFault{Mode: berylfake.ModeDown}))
	for range 50 {
		is.Equal(client.Get(ctx, "/a").Status, beryletcd.Unavailable)
	}
	is.True(fake.Calls().Range < 50)
	for !errors.Is(client.Swap(ctx, "/a", nil, 0, 0).Err, beryletcd.ErrBreakerOpen) {
		time.Sleep(time.Millisecond) // the breaker permitted this call as a probe
	}
	is.NoErr(fake.SetFault(berylfake.PlatformFault{}))
	for client.Get(ctx, "/a").Status != beryletcd.Done {
		time.Sleep(time.Millisecond)
	}
	is.Equal(client.Swap(ctx, "/a", nil, 0, 0).Status, beryletcd.Done)
}

// TestBudget checks that calls above the rate limit wait and fail, but that lease renewals are sent without waiting.
func TestBudget(t *testing.T) {
	is := is.New(t)
	fake := startPlatform(t)
	client := newClient(t, longTimeout, fake.URL())
	lease := client.Grant(context.Background(), time.Minute)
	client.SetRateLimit(0.001)
	ctx, cancel := context.WithTimeout(context.Background(), shortTimeout)
	defer cancel()
	client.Get(ctx, "/a")
	before := fake.Calls().Total()
	is.True(errors.Is(client.Get(ctx, "/a").Err, beryletcd.ErrOverBudget))
	outcome := client.Swap(ctx, "/a", nil, 0, 0)
	is.Equal(outcome.Status, beryletcd.Unavailable)
	is.True(errors.Is(outcome.Err, beryletcd.ErrOverBudget))
	is.Equal(fake.Calls().Total(), before)
	is.Equal(client.KeepAlive(context.Background(), lease.ID).Status, beryletcd.Done)
	client.SetRateLimit(0)
	is.Equal(client.Get(context.Background(), "/a").Status, beryletcd.Done)
}

// TestSizes checks the limits on keys and values, and lists more bytes than one answer holds.
func TestSizes(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	client := newClient(t, longTimeout, startPlatform(t).URL())
	value := make([]byte, beryletcd.MaxValueBytes)
	for i := range 12 {
		is.Equal(client.Swap(ctx, fmt.Sprintf("/big/%02d", i), value, 0, 0).Status, beryletcd.Done)
	}
	is.True(errors.Is(client.Swap(ctx, "/a", append(value, 0), 0, 0).Err, beryletcd.ErrTooLarge))
	is.True(errors.Is(client.Get(ctx, strings.Repeat("k", beryletcd.MaxKeyBytes+1)).Err, beryletcd.ErrTooLarge))
	found, from := 0, ""
	for page := client.List(ctx, "/big/", 0, from); ; page = client.List(ctx, "/big/", 0, from) {
		is.Equal(page.Status, beryletcd.Done)
		found += len(page.Records)
		if from = page.Next; from == "" {
			break
		}
	}
	is.Equal(found, 12)
}

// TestLeaseExpiry checks that a record expires with its lease, and that the fake platform's HTTP interface reports the
// calls and checks faults.
func TestLeaseExpiry(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	fake := startPlatform(t)
	client := newClient(t, longTimeout, fake.URL())
	lease := client.Grant(ctx, time.Second)
	is.Equal(client.Swap(ctx, "/l", nil, 0, lease.ID).Status, beryletcd.Done)
	for client.Get(ctx, "/l").Record.Revision != 0 {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(client.KeepAlive(ctx, lease.ID).Err, beryletcd.ErrLeaseGone)
	answer, err := http.Get(fake.URL() + "/standin/counts")
	is.NoErr(err)
	body, err := io.ReadAll(answer.Body)
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	is.True(strings.Contains(string(body), `"grant":1,"keep-alive":1`))
	for _, tt := range []struct {
		body string
		want int
	}{{`{"mode": "down", "for-ms": 1}`, 204}, {`{"mode": "odd"}`, 400}, {`{"delay": 1}`, 400}} {
		answer, err := http.Post(fake.URL()+"/standin/fault", "application/json", strings.NewReader(tt.body))
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(answer.StatusCode, tt.want)
	}
}

// TestTLS makes calls and watches over TLS. A write to a service whose certificate is not trusted was certainly not
// sent.
func TestTLS(t *testing.T) {
	is := is.New(t)
	tlsServer := httptest.NewTLSServer(http.NotFoundHandler())
	defer tlsServer.Close()
	fake, err := berylfake.StartPlatformTLS("127.0.0.1:0", &tls.Config{Certificates: tlsServer.TLS.Certificates})
	is.NoErr(err)
	defer fake.Close()
	roots := x509.NewCertPool()
	roots.AddCert(tlsServer.Certificate())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client, err := beryletcd.New(beryletcd.Config{
		Endpoints: []string{fake.URL()}, Timeout: longTimeout, TLS: &tls.Config{RootCAs: roots},
	})
	is.NoErr(err)
	is.Equal(client.Swap(ctx, "/a", []byte("x"), 0, 0).Status, beryletcd.Done)
	client.Watch(ctx, beryletcd.Target{Key: "/a"}, 1, func(c beryletcd.Change) {
		is.Equal(string(c.Records[0].Value), "x")
		cancel()
	})
	var unknown *tls.CertificateVerificationError
	outcome := newClient(t, longTimeout, fake.URL()).Swap(context.Background(), "/a", nil, 2, 0)
	is.Equal(outcome.Status, beryletcd.Unavailable)
	is.True(errors.As(outcome.Err, &unknown))
	var opError *net.OpError
	is.True(!errors.As(outcome.Err, &opError)) // the certificate check failed, not the connection
}

// BenchmarkSwap measures one compare-and-set over loopback, including the fake platform.
func BenchmarkSwap(b *testing.B) {
	fake, err := berylfake.StartPlatform("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer fake.Close()
	client, err := beryletcd.New(beryletcd.Config{Endpoints: []string{fake.URL()}, Timeout: longTimeout})
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	value := make([]byte, 500)
	revision := int64(0)
	b.ReportAllocs()
	for b.Loop() {
		outcome := client.Swap(context.Background(), "/bench", value, revision, 0)
		if outcome.Status != beryletcd.Done {
			b.Fatal(outcome)
		}
		revision = outcome.Revision
	}
}

// A broken answer says nothing about the outcome of a write.
func TestBrokenHeads(t *testing.T) {
	body := `{"header":{"revision":"5"},"succeeded":true,"responses":[{}]}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, tt := range map[string]struct {
		answer string
		want   beryletcd.Status
	}{
		"whole":                        {whole, beryletcd.Done},
		"status 000":                   {strings.Replace(whole, "200", "000", 1), beryletcd.Unknown},
		"blank in the name of a field": {strings.Replace(whole, "\r\n", "\r\nBad Name: x\r\n", 1), beryletcd.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
					}
					_, _ = io.WriteString(conn, tt.answer)
					_ = conn.Close()
				}
			}()
			client := newClient(t, longTimeout, "http://"+listener.Addr().String())
			is.Equal(client.Swap(context.Background(), "/a", []byte("x"), 0, 0).Status, tt.want)
		})
	}
}
