package berylfleet

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
	"berylroad.example/berylroad/internal/beryletcd"
	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylkey"
	"berylroad.example/berylroad/internal/berylserve"
	"berylroad.example/berylroad/internal/berylsettings"
	"berylroad.example/berylroad/internal/berylspread"
)

const (
	loopback           = "127.0.0.1:0"
	region             = "local"
	failureDomainCount = 3
	pollInterval       = 20 * time.Millisecond
)

// Config configures a fleet.
type Config struct {
	// Hosts is the number of hosts, at least one.
	Hosts int
	// Engines is the number of fake engines.
	Engines int
	// Slots is the number of calls that each engine may have in flight.
	Slots int
	// Model is the model that the engines serve.
	Model string
	// Engine configures each fake engine.
	Engine berylfake.EngineOptions
	// Rules are the rules of the fleet's configuration.
	Rules berylconf.Rules
	// Log receives the log lines of the hosts.
	Log logrus.FieldLogger
}

// Fleet is a group of running hosts with a fake platform and fake engines.
type Fleet struct {
	// APIKey is the API key of the fleet's only client account.
	APIKey string
	// Platform is the fake platform that all hosts use.
	Platform *berylfake.Platform
	// Engines are the fake engines that the hosts call.
	Engines []*berylfake.Engine
	// Hosts are the berylroad hosts, which run in this process.
	Hosts []*berylserve.Host

	config    Config
	hostGroup conc.WaitGroup
	cancel    context.CancelFunc
	errs      chan error
}

// Start starts the fakes, binds the hosts' ports, writes the configuration and runs the hosts.
func Start(config Config) (*Fleet, error) {
	f := &Fleet{config: config, errs: make(chan error, config.Hosts), cancel: func() {}}
	for _, step := range []func() error{f.startFakes, f.bindHosts, f.configure, f.runHosts} {
		if err := step(); err != nil {
			return nil, errors.CombineErrors(err, f.Stop())
		}
	}
	return f, nil
}

func (f *Fleet) startFakes() error {
	var err error
	if f.Platform, err = berylfake.StartPlatform(loopback); err != nil {
		return err
	}
	options := f.config.Engine
	options.Models = []string{f.config.Model}
	for range f.config.Engines {
		engine, err := berylfake.StartEngine(loopback, options)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, engine)
	}
	return nil
}

func (f *Fleet) bindHosts() error {
	now := time.Now()
	authority, err := berylkey.CreateCA(now)
	if err != nil {
		return err
	}
	for i := range f.config.Hosts {
		name := hostName(i)
		pair, err := authority.CreateHost(now, name)
		if err != nil {
			return err
		}
		credentials, err := berylkey.New(now, authority.Cert, pair)
		if err != nil {
			return err
		}
		host, err := berylserve.New(berylserve.Config{Settings: f.settings(i), Credentials: credentials, Log: f.config.Log})
		if err != nil {
			return err
		}
		f.Hosts = append(f.Hosts, host)
	}
	return nil
}

func hostName(i int) string {
	return fmt.Sprintf("host-%d", i+1)
}

func failureDomain(i int) string {
	return fmt.Sprintf("%s-%d", region, i%failureDomainCount+1)
}

func (f *Fleet) settings(i int) berylsettings.Settings {
	return berylsettings.Settings{
		Host:            hostName(i),
		Region:          region,
		FailureDomain:   failureDomain(i),
		CallerAddress:   loopback,
		PeerAddress:     loopback,
		OperatorAddress: loopback,
		Platform:        []string{f.Platform.URL()},
	}
}

// configure writes the first configuration, as `config apply` does.
func (f *Fleet) configure() error {
	key, hash := berylkey.NewCallerKey()
	f.APIKey = key
	document := &berylconf.Document{Revision: 1, Rules: f.config.Rules}
	document.Inventory.Callers = []berylconf.Caller{{Name: "local", KeyHash: hash}}
	for i, host := range f.Hosts {
		document.Inventory.Hosts = append(document.Inventory.Hosts, berylconf.Host{
			Name:          hostName(i),
			Region:        region,
			FailureDomain: failureDomain(i),
			PeerAddress:   host.PeerAddress(),
		})
	}
	for i, engine := range f.Engines {
		document.Inventory.Upstreams = append(document.Inventory.Upstreams, berylconf.Upstream{
			Name:          fmt.Sprintf("engine-%d", i+1),
			URL:           engine.URL(),
			Region:        region,
			FailureDomain: failureDomain(i),
			Models:        []string{f.config.Model},
			Slots:         f.config.Slots,
			Resume:        f.config.Engine.Resume,
		})
	}
	return f.write(document)
}

func (f *Fleet) write(document *berylconf.Document) error {
	data, err := berylconf.Encode(document)
	if err != nil {
		return err
	}
	client, err := beryletcd.New(beryletcd.Config{Endpoints: []string{f.Platform.URL()}})
	if err != nil {
		return err
	}
	defer client.Close()
	outcome := client.SwapSettled(context.Background(), berylspread.ConfigurationKey, data, 0, 0)
	if outcome.Status != beryletcd.Done {
		return errors.Wrap(outcome.Err, "write the configuration")
	}
	return nil
}

func (f *Fleet) runHosts() error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for _, host := range f.Hosts {
		f.hostGroup.Go(func() { f.errs <- host.Run(ctx) })
	}
	return nil
}

// Addresses returns the base URL of each host for callers.
func (f *Fleet) Addresses() []string {
	var addresses []string
	for _, host := range f.Hosts {
		addresses = append(addresses, "http://"+host.CallerAddress())
	}
	return addresses
}

// WaitReady waits until every host is ready. It returns an error if ctx ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, address := range f.Addresses() {
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

// Stop stops the hosts as at a planned stop, and then the fakes. Call it once.
func (f *Fleet) Stop() error {
	f.cancel()
	f.hostGroup.Wait()
	close(f.errs)
	var all error
	for err := range f.errs {
		all = errors.CombineErrors(all, err)
	}
	for _, engine := range f.Engines {
		engine.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
	return all
}
