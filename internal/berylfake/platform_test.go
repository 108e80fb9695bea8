package berylfake_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
)

// TestRefusalIsInForce connects directly after a refusal was set: the listening socket must be gone by then, since a
// connection that it still takes ends in a reset instead of a refusal.
func TestRefusalIsInForce(t *testing.T) {
	for name, start := range map[string]func(is *is.I) (url string, refuse func() error, stop func()){
		"platform": func(is *is.I) (string, func() error, func()) {
			fake, err := berylfake.StartPlatform("127.0.0.1:0")
			is.NoErr(err)
			return fake.URL(), func() error { return fake.SetFault(berylfake.Fault{Mode: berylfake.ModeRefuse}) }, fake.Close
		},
		"service": func(is *is.I) (string, func() error, func()) {
			fake, err := berylfake.StartService("127.0.0.1:0", berylfake.ServiceOptions{})
			is.NoErr(err)
			return fake.URL(), func() error { return fake.SetFault(berylfake.UpstreamFault{Mode: berylfake.FaultRefuse}) }, fake.Close
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 300 {
				is := is.New(t)
				url, refuse, stop := start(is)
				is.NoErr(refuse())
				conn, err := net.DialTimeout("tcp", strings.TrimPrefix(url, "http://"), time.Second)
				stop()
				if err == nil {
					conn.Close()
					t.Fatal("connected to a stand-in that refuses connections")
				}
			}
		})
	}
}
