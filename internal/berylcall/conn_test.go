package berylcall

import (
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylsocket"
)

// Guards against bytes of upstreams that wait in the kernel for calls that read no more.
func TestReceiveBufferIsBounded(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	c, err := dial(t.Context(), listener.Addr().String(), nil)
	is.NoErr(err)
	defer c.Close()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	size := 0
	is.NoErr(raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF) }))
	is.NoErr(err)
	is.True(size <= 2*berylsocket.ReceiveBuffer)
}
