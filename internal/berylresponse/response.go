package berylresponse

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// maxTrailerBytes bounds the trailer of a chunked body, in bytes.
const maxTrailerBytes = 4 << 10

// Response is a response whose head has been read.
type Response struct {
	Head
	// Length is the length of the body in bytes, or -1 if only the end of the body tells it.
	Length int64
	// UntilClose says that the body ends with the connection.
	UntilClose bool
	// Close says that the connection can't carry another response.
	Close bool
	// Body is the body. It ends with io.EOF only if it is whole, as far as the connection tells the end of its bytes from a reset.
	Body io.Reader
}

// Read reads the head of the response to a request with the given method. It skips interim responses. limit bounds all heads together, in
// bytes.
func Read(r *bufio.Reader, method string, limit int) (*Response, error) {
	return read(&lineReader{reader: r, left: limit}, method)
}

// read is Read for lines of a head.
func read(lines *lineReader, method string) (*Response, error) {
	r := lines.reader
	head, err := lines.finalHead()
	if err != nil {
		return nil, err
	}
	response := &Response{Head: head, Close: head.closes()}
	lengths, encodings := head.Values("Content-Length"), head.Values("Transfer-Encoding")
	length, err := parseLength(lengths)
	if err != nil {
		return nil, err
	}
	switch {
	case method == http.MethodHead || head.Status == http.StatusNotModified:
		response.Body = http.NoBody
	case head.Status == http.StatusNoContent:
		response.Body = http.NoBody
		response.Close = response.Close || length > 0 || len(encodings) > 0
	case len(encodings) > 0:
		// A length beside an encoding, or an encoding in HTTP/1.0, means that an upstream and its recipients disagree about the body.
		if len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked") || len(lengths) > 0 || head.minorVersion == 0 {
			return nil, errors.Wrapf(ErrMalformed, "transfer encoding %q with lengths %q", encodings, lengths)
		}
		response.Length = -1
		response.Body = &chunkedBody{chunks: httputil.NewChunkedReader(r), trailer: lineReader{reader: r, left: maxTrailerBytes, requiresCR: true}}
	case length >= 0:
		response.Length = length
		response.Body = &sizedBody{reader: r, left: length}
	default:
		response.Length, response.UntilClose, response.Close = -1, true, true
		response.Body = r
	}
	return response, nil
}

// closes reports whether the sender closes the connection after the response.
func (h *Head) closes() bool {
	connection := h.Values("Connection")
	if h.minorVersion == 0 {
		return !httpguts.HeaderValuesContainsToken(connection, "keep-alive")
	}
	return httpguts.HeaderValuesContainsToken(connection, "close")
}

// parseLength returns the length that all of the values state, or -1 if there are none.
func parseLength(values []string) (int64, error) {
	if len(values) == 0 {
		return -1, nil
	}
	length, err := strconv.ParseUint(values[0], 10, 63)
	for _, v := range values {
		if err != nil || v != values[0] {
			return 0, errors.Wrapf(ErrMalformed, "lengths %q", values)
		}
	}
	return int64(length), nil
}

// sizedBody is a body of known length.
type sizedBody struct {
	reader io.Reader
	left   int64
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case err == io.EOF: //nolint:errorlint // Only a plain io.EOF is the end of the connection.
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// chunkedBody is a chunked body. Its trailer is checked and dropped.
type chunkedBody struct {
	chunks  io.Reader
	trailer lineReader
	err     error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF { //nolint:errorlint // Only a plain io.EOF is the last chunk.
		b.chunks = http.NoBody
		if n > 0 {
			return n, nil // the trailer may come later
		}
		if _, err = b.trailer.fields(); err == nil {
			err = io.EOF
		}
	}
	b.err = err
	return n, err
}
