package berylwire

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxErrorBytes    = 512
	maxKindBytes     = 64
)

// status is the first field of every reply.
type status uint8

const (
	statusOK status = iota
	statusRemote
	statusMalformed
	statusUnknownKind
	statusBusy
)

// fault returns the fault that the caller gets for a reply without an answer.
func (s status) fault() Fault {
	switch s {
	case statusRemote:
		return Remote
	case statusMalformed:
		return Malformed
	case statusUnknownKind:
		return UnknownKind
	case statusBusy:
		return Busy
	default:
		return BadReply
	}
}

// request is everything that a caller writes to a stream.
type request struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	Body cbor.RawMessage
}

// reply is everything that the handling host writes to a stream.
type reply struct {
	_      struct{} `cbor:",toarray"`
	Status status
	Text   string
	Body   cbor.RawMessage
}

// codec encodes and decodes CBOR bodies within size limits.
type codec struct {
	enc cbor.EncMode
	dec cbor.DecMode
}

func newCodec() (codec, error) {
	enc, err := cbor.EncOptions{TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		return codec{}, errors.Wrap(err, "encoder")
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	return codec{enc: enc, dec: dec}, errors.Wrap(err, "decoder")
}

// readFrame reads everything that the other side writes. It fails if that is more than max bytes.
func readFrame(r io.Reader, max int) ([]byte, error) {
	frame, err := io.ReadAll(io.LimitReader(r, int64(max)+1))
	if err != nil {
		return nil, err
	}
	if len(frame) > max {
		return nil, errTooLarge(max)
	}
	return frame, nil
}

func errTooLarge(max int) error {
	return errors.Newf("frame of more than %d bytes", max)
}

func truncate(text string, max int) string {
	if len(text) <= max {
		return text
	}
	return text[:max]
}
