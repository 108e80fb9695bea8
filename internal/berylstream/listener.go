package berylstream

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// minAcceptBackoff and maxAcceptBackoff bound the pause after a failed accept. It doubles with each one in a row.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 500 * time.Millisecond
)

// Listener accepts connections until it is closed. It outlasts errors that pass, such as a lack of descriptors, after which HTTP servers
// accept nothing more.
type Listener struct {
	net.Listener
	// Log receives a line for the first of several errors in a row, and when it has passed.
	Log logrus.FieldLogger
}

// Accept waits for the next connection. It fails only once the listener is closed or its socket shut down.
func (l *Listener) Accept() (net.Conn, error) {
	backoff := time.Duration(0)
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			if backoff > 0 {
				l.Log.Info("listener: accepts connections again")
			}
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EINVAL) {
			return nil, err
		}
		if backoff == 0 {
			l.Log.WithError(err).Error("listener: can't accept connections, trying again")
		}
		backoff = min(max(2*backoff, minAcceptBackoff), maxAcceptBackoff)
		time.Sleep(backoff)
	}
}
