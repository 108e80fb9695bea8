package berylfake_test

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylfake"
)

// TestRefusalIsInForce connects directly after ModeRefuse or FaultRefuse was set. The listening socket must be closed by
// then: a connection that it still accepts would be reset instead of refused.
func TestRefusalIsInForce(t *testing.T) {
	for name, start := range map[string]func(is *is.I) (url string, refuse func() error, stop func()){
		"platform": func(is *is.I) (string, func() error, func()) {
			fake, err := berylfake.StartPlatform("127.0.0.1:0")
			is.NoErr(err)
			return fake.URL(), func() error { return fake.SetFault(berylfake.PlatformFault{Mode: berylfake.ModeRefuse}) }, fake.Close
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

// TestFaultIsInForceOnceAnswered makes a call directly after the response to POST /standin/fault; the fault must apply to it.
func TestFaultIsInForceOnceAnswered(t *testing.T) {
	for mode, want := range map[berylfake.PlatformMode]string{berylfake.ModeDown: "503", berylfake.ModeRefuse: "refused", berylfake.ModeUp: "200"} {
		t.Run("mode "+string(mode), func(t *testing.T) {
			is := is.New(t)
			fake, err := berylfake.StartPlatform("127.0.0.1:0")
			is.NoErr(err)
			defer fake.Close()
			for range 200 {
				is.NoErr(fake.SetFault(berylfake.PlatformFault{}))
				answer, err := http.Post(fake.URL()+"/standin/fault", "application/json", strings.NewReader(`{"mode":"`+string(mode)+`"}`))
				is.NoErr(err)
				answer.Body.Close()
				is.Equal(answer.StatusCode, http.StatusNoContent)
				is.Equal(readStatus(fake.URL()), want)
			}
		})
	}
}

// readStatus reads a key over a new connection and returns the HTTP status, or "refused" if the connection was refused.
func readStatus(url string) string {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Post(url+"/v3/kv/range", "application/json", strings.NewReader(`{"key":"YQ=="}`))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case err != nil:
		return err.Error()
	}
	answer.Body.Close()
	return strconv.Itoa(answer.StatusCode)
}
