package berylwire_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/internal/berylwire"
)

// callers is how many calls share one connection.
const callers = 200

// testHosts is a certificate authority for hosts on loopback.
type testHosts struct {
	t  testing.TB
	ca berylkey.KeyPair
}

type echoMessage struct {
	Text string `cbor:"1,keyasint"`
}

func newTestHosts(t testing.TB) testHosts {
	ca, err := berylkey.CreateCA(time.Now().AddDate(-3, 0, 0))
	if err != nil {
		t.Fatal(err)
	}
	return testHosts{t: t, ca: ca}
}

func (hosts testHosts) credentials(name string) *berylkey.Credentials {
	pair, err := hosts.ca.CreateHost(time.Now(), name)
	if err != nil {
		hosts.t.Fatal(err)
	}
	credentials, err := berylkey.New(time.Now(), hosts.ca.Cert, pair)
	if err != nil {
		hosts.t.Fatal(err)
	}
	return credentials
}

// listen opens an endpoint, which is closed at the end of the test.
func (hosts testHosts) listen(config berylwire.Config) *berylwire.Endpoint {
	if config.Credentials == nil {
		config.Credentials = hosts.credentials(config.Name)
	}
	if config.Address == "" {
		config.Address = "127.0.0.1:0"
	}
	e, err := berylwire.Listen(config)
	if err != nil {
		hosts.t.Fatal(err)
	}
	hosts.t.Cleanup(e.Close)
	return e
}

// serve handles the kind "echo" at the endpoint until the test ends.
func (hosts testHosts) serve(e *berylwire.Endpoint) berylwire.Peer {
	berylwire.Handle(e, "echo", func(_ context.Context, peer string, q echoMessage) (echoMessage, error) {
		if q.Text == "fail" {
			return echoMessage{}, errors.New("asked to fail")
		}
		return echoMessage{Text: peer + ":" + q.Text}, nil
	})
	go e.Serve(context.Background())
	return berylwire.Peer{Name: e.Name(), Address: e.Addr()}
}

func TestCallReachesThePeerUnderTheCallersName(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	peer := hosts.serve(hosts.listen(berylwire.Config{Name: "host-b"}))
	a := hosts.listen(berylwire.Config{Name: "host-a"})
	answer, err := berylwire.Call[echoMessage, echoMessage](t.Context(), a, peer, "echo", echoMessage{Text: "hello"})
	is.NoErr(err)
	is.Equal(answer.Text, "host-a:hello")
}

func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	is := is.New(t)
	hosts := newTestHosts(t)
	peer := hosts.serve(hosts.listen(berylwire.Config{Name: "host-b"}))
	a := hosts.listen(berylwire.Config{Name: "host-a"})
	mismatches := make(chan string, callers)
	var calls conc.WaitGroup
	for i := range callers {
		calls.Go(func() {
			text := fmt.Sprint("question ", i)
			answer, err := berylwire.Call[echoMessage, echoMessage](t.Context(), a, peer, "echo", echoMessage{Text: text})
			if err != nil || answer.Text != "host-a:"+text {
				mismatches <- fmt.Sprint(text, " got ", answer.Text, err)
			}
		})
	}
	calls.Wait()
	close(mismatches)
	is.Equal(<-mismatches, "")
}
