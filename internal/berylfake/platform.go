package berylfake

import (
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// platformPollInterval is how often the stand-in looks for expired leases, and for the end of a freeze that ends by time.
const platformPollInterval = 100 * time.Millisecond

// Platform is a stand-in for the platform's key-value service, an etcd JSON gateway, with scripted faults.
type Platform struct {
	store  *platformStore
	script *platformScript
	counts *platformCounts
	tls    *tls.Config

	mu            sync.Mutex
	address       string
	delayedWrites []func()
	server        *http.Server
	acceptEnded   chan struct{} // closed when the server accepts no more connections
	closing       chan struct{}
	closed        sync.Once
	goroutines    conc.WaitGroup
}

// StartPlatform starts a stand-in on the address, such as "127.0.0.1:0".
func StartPlatform(address string) (*Platform, error) {
	return StartPlatformTLS(address, nil)
}

// StartPlatformTLS starts a stand-in that serves TLS with the config, or plain HTTP if the config is nil.
func StartPlatformTLS(address string, config *tls.Config) (*Platform, error) {
	p := &Platform{
		tls:     config,
		store:   newPlatformStore(),
		script:  newPlatformScript(),
		counts:  &platformCounts{},
		closing: make(chan struct{}),
		address: address,
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	p.goroutines.Go(p.expireLeases)
	return p, nil
}

// URL returns the base URL of the gateway.
func (p *Platform) URL() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tls != nil {
		return "https://" + p.address
	}
	return "http://" + p.address
}

// SetFault replaces the fault in force; the zero value clears it.
func (p *Platform) SetFault(f PlatformFault) error {
	if err := f.check(); err != nil {
		return err
	}
	p.script.set(f)
	if f.Compact {
		p.store.compactAll()
	}
	if f.DropWatches {
		p.script.dropWatches()
	}
	if f.Mode != ModeRefuse {
		return p.listen()
	}
	p.stopListening()
	if f.ForMillis > 0 {
		_, changed := p.script.current()
		p.goroutines.Go(func() { p.listenAgainAfter(time.Duration(f.ForMillis)*time.Millisecond, changed) })
	}
	return nil
}

// Calls returns a snapshot of the call counters.
func (p *Platform) Calls() PlatformCalls {
	return p.counts.snapshot()
}

// Close stops the stand-in and closes its connections.
func (p *Platform) Close() {
	p.closed.Do(func() {
		close(p.closing)
		p.stopListening()
		p.goroutines.Wait()
	})
}

// listen opens the listener if it is not open. The first call fixes the port, so that later calls reopen the same one.
func (p *Platform) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	p.address = listener.Addr().String()
	if p.tls != nil {
		listener = tls.NewListener(listener, p.tls)
	}
	server := &http.Server{
		Handler: p.handler(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0),
	}
	served := make(chan struct{})
	p.server, p.acceptEnded = server, served
	p.goroutines.Go(func() {
		defer close(served)
		_ = server.Serve(listener)
	})
	return nil
}

// stopListening closes the listener and every connection. The socket accepts connections until Serve has returned. The first
// Close can miss one that was accepted last, so Close is called again after that.
func (p *Platform) stopListening() {
	p.mu.Lock()
	server, served := p.server, p.acceptEnded
	p.server = nil
	p.mu.Unlock()
	if server != nil {
		_ = server.Close()
		<-served
		_ = server.Close()
	}
}

// listenAgainAfter clears the fault and listens again after the wait, unless another fault has been set by then.
func (p *Platform) listenAgainAfter(wait time.Duration, changed <-chan struct{}) {
	select {
	case <-time.After(wait):
		_ = p.SetFault(PlatformFault{})
	case <-changed:
	case <-p.closing:
	}
}

// expireLeases periodically ends expired leases until Close is called.
func (p *Platform) expireLeases() {
	ticker := time.NewTicker(platformPollInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			p.store.expireLeases(now)
		case <-p.closing:
			return
		}
	}
}
