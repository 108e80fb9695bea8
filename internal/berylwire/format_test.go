package berylwire

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
)

// Guards against the cause of a refused certificate being lost in a panic of the error's formatting, which happens if the
// peer's refusal arrives as its TLS alert.
func TestRefusalByThePeerIsFormatted(t *testing.T) {
	is := is.New(t)
	const badCertificate = 0x100 + 42 // the TLS alert bad_certificate as a QUIC error code
	refused := error(&quic.TransportError{Remote: true, ErrorCode: badCertificate, ErrorMessage: "bad certificate"})
	for _, err := range []error{
		errors.Wrap(opaque(refused), "connect"),
		errors.CombineErrors(nil, opaque(refused)),
		&Error{Fault: Unreachable, Peer: "host-b", Kind: "k", Cause: errors.Wrap(opaque(refused), "connect")},
	} {
		for _, text := range []string{fmt.Sprintf("%v", err), fmt.Sprintf("%+v", err), err.Error()} {
			is.True(strings.Contains(text, "bad certificate"))
			is.True(!strings.Contains(text, "PANIC"))
		}
	}
	// What the error says of the connection can still be found out.
	wrapped := errors.Wrap(opaque(refused), "connect")
	is.True(connectionLost(wrapped))
	is.Equal(faultWithoutAnswer(wrapped), Unreachable)
	is.True(errors.Is(opaque(net.ErrClosed), net.ErrClosed))
	is.Equal(opaque(nil), nil)
}
