package berylhost_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylhost"
	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/internal/berylwire"
)

// process is one host on real sockets.
type process struct {
	host *berylhost.Membership
	stop context.CancelFunc
}

func startProcesses(t *testing.T, count int) []process {
	is := is.New(t)
	ca, err := berylkey.CreateCA(time.Now())
	is.NoErr(err)
	var all []process
	var members []berylhost.Member
	for i := range count {
		name := fmt.Sprintf("host-%d", i)
		pair, err := ca.CreateHost(time.Now(), name)
		is.NoErr(err)
		credentials, err := berylkey.New(time.Now(), ca.Cert, pair)
		is.NoErr(err)
		e, err := berylwire.Listen(berylwire.Config{Name: name, Address: "127.0.0.1:0", Credentials: credentials})
		is.NoErr(err)
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		m := berylhost.New(berylhost.Config{Self: berylhost.Member{Name: name, Region: "mu-north", FailureDomain: "mu-north-a"}, Endpoint: e})
		go e.Serve(ctx)
		go m.Run(ctx)
		all = append(all, process{host: m, stop: stop})
		members = append(members, m.Self())
	}
	for _, p := range all {
		p.host.SetCandidates(t.Context(), members)
	}
	return all
}

// await waits until the host sees count live members.
func (p process) await(t *testing.T, count int) {
	t.Helper()
	deadline := time.After(time.Minute)
	for {
		changed := p.host.Changed()
		if len(p.host.Live()) == count {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("%s sees %d live members, want %d", p.host.Self().Name, len(p.host.Live()), count)
		}
	}
}

func TestHostsFindAndMissEachOther(t *testing.T) {
	all := startProcesses(t, 4)
	for _, p := range all {
		p.await(t, 4)
	}
	all[0].host.Leave(t.Context())
	for _, p := range all[1:] {
		p.await(t, 3)
	}
	all[1].stop()
	for _, p := range all[2:] {
		p.await(t, 2)
	}
}
