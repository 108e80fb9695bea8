package berylstream

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

// failingListener fails to accept as often as there are errors, and then accepts one connection.
type failingListener struct {
	net.Listener
	errs []error
	conn net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return l.conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against a host that accepts no more connections, though it counts as ready, because one call has failed.
func TestAcceptGoesOnAfterPassingErrors(t *testing.T) {
	acceptError := func(errno syscall.Errno) error {
		return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, tt := range []struct {
		name string
		errs []error
		want error
	}{
		{"no descriptors left", []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.EMFILE)}, nil},
		{"no memory", []error{acceptError(syscall.ENOBUFS), acceptError(syscall.ENOMEM)}, nil},
		{"the caller has given up", []error{acceptError(syscall.ECONNABORTED)}, nil},
		{"shut down", []error{acceptError(syscall.EINVAL)}, syscall.EINVAL},
		{"closed", []error{net.ErrClosed}, net.ErrClosed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				conn, peer := net.Pipe()
				defer conn.Close()
				defer peer.Close()
				l := &Listener{Listener: &failingListener{errs: tt.errs, conn: conn}, Log: log}
				began := time.Now()
				got, err := l.Accept()
				is.True(errors.Is(err, tt.want))
				is.Equal(got == conn, tt.want == nil)
				is.True(time.Since(began) < 2*time.Second)
			})
		})
	}
}
