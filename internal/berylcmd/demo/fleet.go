package demo

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/internal/berylplatform"
	"berylroad.example/berylroad/internal/berylserve"
	"berylroad.example/berylroad/internal/berylsettings"
	"berylroad.example/berylroad/internal/berylspread"
)

const (
	model       = "demo-llm"
	loopback    = "127.0.0.1:0"
	hostCount   = 3
	engineCount = 2
	engineSlots = 8
)

// fleet is three hosts and their surroundings in one process.
type fleet struct {
	key      string
	platform *berylfake.Platform
	engines  []*berylfake.Engine
	hosts    []*berylserve.Host
	runs     conc.WaitGroup
	cancel   context.CancelFunc
	errs     chan error
}

// startFleet starts the stand-ins, binds the hosts' ports, writes the configuration and runs the hosts.
func startFleet(log *logrus.Logger) (*fleet, error) {
	f := &fleet{errs: make(chan error, hostCount), cancel: func() {}}
	for _, step := range []func(*logrus.Logger) error{f.startStandIns, f.bindHosts, f.configure, f.runHosts} {
		if err := step(log); err != nil {
			return nil, errors.CombineErrors(err, f.stop())
		}
	}
	return f, nil
}

func (f *fleet) startStandIns(*logrus.Logger) error {
	var err error
	if f.platform, err = berylfake.StartPlatform(loopback); err != nil {
		return err
	}
	for range engineCount {
		engine, err := berylfake.StartEngine(loopback, berylfake.EngineOptions{Models: []string{model}, TokenTime: time.Millisecond})
		if err != nil {
			return err
		}
		f.engines = append(f.engines, engine)
	}
	return nil
}

func (f *fleet) bindHosts(log *logrus.Logger) error {
	now := time.Now()
	authority, err := berylkey.CreateCA(now)
	if err != nil {
		return err
	}
	for i := range hostCount {
		name := hostName(i)
		pair, err := authority.CreateHost(now, name)
		if err != nil {
			return err
		}
		credentials, err := berylkey.New(now, authority.Cert, pair)
		if err != nil {
			return err
		}
		host, err := berylserve.New(berylserve.Config{Settings: f.settings(name), Credentials: credentials, Log: log})
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, host)
	}
	return nil
}

func hostName(i int) string {
	return fmt.Sprintf("host-%d", i+1)
}

func (f *fleet) settings(name string) berylsettings.Settings {
	return berylsettings.Settings{
		Host:            name,
		Region:          "demo",
		FailureDomain:   "demo-" + name,
		CallerAddress:   loopback,
		PeerAddress:     loopback,
		OperatorAddress: loopback,
		Platform:        []string{f.platform.URL()},
	}
}

// configure writes the first configuration, as `config apply` would.
func (f *fleet) configure(*logrus.Logger) error {
	key, hash := berylkey.NewCallerKey()
	f.key = key
	document := &berylconf.Document{Revision: 1}
	document.Inventory.Callers = []berylconf.Caller{{Name: "demo", KeyHash: hash}}
	for i, host := range f.hosts {
		document.Inventory.Hosts = append(document.Inventory.Hosts, berylconf.Host{
			Name:          hostName(i),
			Region:        "demo",
			FailureDomain: "demo-" + hostName(i),
			PeerAddress:   host.PeerAddress(),
		})
	}
	for i, engine := range f.engines {
		document.Inventory.Upstreams = append(document.Inventory.Upstreams, berylconf.Upstream{
			Name:          fmt.Sprintf("engine-%d", i+1),
			URL:           engine.URL(),
			Region:        "demo",
			FailureDomain: "demo-a",
			Models:        []string{model},
			Slots:         engineSlots,
		})
	}
	return f.write(document)
}

func (f *fleet) write(document *berylconf.Document) error {
	data, err := berylconf.Encode(document)
	if err != nil {
		return err
	}
	client, err := berylplatform.New(berylplatform.Config{Endpoints: []string{f.platform.URL()}})
	if err != nil {
		return err
	}
	defer client.Close()
	outcome := client.SwapSettled(context.Background(), berylspread.Key, data, 0, 0)
	if outcome.Status != berylplatform.Done {
		return errors.Wrap(outcome.Err, "write the configuration")
	}
	return nil
}

func (f *fleet) runHosts(*logrus.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, host := range f.hosts {
		f.runs.Go(func() { f.errs <- host.Run(ctx) })
	}
	return nil
}

func (f *fleet) addresses() []string {
	var addresses []string
	for _, host := range f.hosts {
		addresses = append(addresses, "http://"+host.CallerAddress())
	}
	return addresses
}

func (f *fleet) waitReady(ctx context.Context) error {
	for _, address := range f.addresses() {
		for !isReady(address) {
			select {
			case <-ctx.Done():
				return errors.Newf("%s is not ready", address)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

func isReady(address string) bool {
	status, _, err := fasthttp.GetTimeout(nil, address+"/readyz", time.Second)
	return err == nil && status == http.StatusOK
}

// stop ends the hosts as planned, then the stand-ins.
func (f *fleet) stop() error {
	f.cancel()
	f.runs.Wait()
	close(f.errs)
	var all error
	for err := range f.errs {
		all = errors.CombineErrors(all, err)
	}
	for _, engine := range f.engines {
		engine.Close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
	return all
}
