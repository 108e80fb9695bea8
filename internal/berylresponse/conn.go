package berylresponse

import (
	"bufio"
	"net"
	"net/http"
)

const (
	// connBufferBytes is the size of a connection's read buffer.
	connBufferBytes = 4 << 10
	// maxConnHead bounds the heads of a response that a Conn passes on, in bytes.
	maxConnHead = 16 << 10
)

// Conn is a connection for an HTTP library that accepts more responses than the protocol allows. Its reads fail unless the head of a
// response is valid, and leave out interim heads. It carries one request at a time, which is not a HEAD request.
type Conn struct {
	net.Conn

	reader *bufio.Reader
	// awaitsHead is set from the write of a request until the head of its response has been read.
	awaitsHead bool
	// head is what is left to pass on of a head that has been checked.
	head []byte
}

// NewConn returns a connection that checks what is read from conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, connBufferBytes)}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.awaitsHead = true
	return c.Conn.Write(p)
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	if c.awaitsHead {
		response, err := read(&lineReader{reader: c.reader, left: maxConnHead, keepsText: true}, http.MethodGet)
		if err != nil {
			return 0, err
		}
		c.awaitsHead, c.head = false, response.text
	}
	if len(c.head) > 0 {
		n := copy(p, c.head)
		c.head = c.head[n:]
		return n, nil
	}
	return c.reader.Read(p)
}
