package berylsocket

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ReceiveBuffer is how many bytes that have arrived on a connection may wait in the kernel, which itself allows megabytes for a connection
// that was read fast before. The kernel doubles it for its own needs.
const ReceiveBuffer = 64 << 10

// State is the kernel's state of a TCP connection.
type State int

const (
	// Closed connections were reset, have timed out or have ended on both sides.
	Closed State = 7
	// EndedByPeer connections are those on which the peer has sent its last byte and this side has not.
	EndedByPeer State = 8

	// stateMask selects the state, which is the first byte, from the kernel's TCP_INFO.
	stateMask = 0xff
)

// StateOf returns the state of a connection, or an error if the system does not tell it.
func StateOf(conn net.Conn) (State, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, errors.New("the connection has no descriptor")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var state State
	controlErr := raw.Control(func(descriptor uintptr) { state, err = StateOfDescriptor(int(descriptor)) })
	if controlErr != nil {
		return 0, controlErr
	}
	return state, err
}

// StateOfDescriptor returns the state of the connection with a descriptor.
func StateOfDescriptor(descriptor int) (State, error) {
	info, err := syscall.GetsockoptInt(descriptor, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	return State(info & stateMask), err
}
