package berylwire

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylpermit"
)

// FuzzAnswer feeds frames to an endpoint with one handler whose request type is nested.
func FuzzAnswer(f *testing.F) {
	codec, err := newCodec()
	is.New(f).NoErr(err)
	e := &Endpoint{config: Config{MaxConcurrentPerKind: 1}, codec: codec, handlers: map[string]*handler{}}
	handled := 0
	h := newHandler(e, func(_ context.Context, _ string, held berylpermit.HeldReport) (berylpermit.HeldReport, error) {
		handled++
		return held, nil
	})
	e.handlers["held"] = h
	body, err := codec.enc.Marshal(berylpermit.HeldReport{Host: "host-a", Permits: make([]berylpermit.HeldPermit, 3)})
	is.New(f).NoErr(err)
	whole, err := codec.enc.Marshal(request{Kind: "held", Body: body})
	is.New(f).NoErr(err)
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add(append(whole, 0))
	f.Add([]byte{})
	f.Add([]byte("\x82\x64held\xa1\x03\x9b\x00\x00\x00\x7f\xff\xff\xff\xff")) // an array that claims almost 2^39 elements and has none
	f.Add([]byte("\x82\x64held\xa1\x01\x5b\x7f\xff\xff\xff\xff\xff\xff\xff")) // a byte string that claims almost 2^63 bytes
	f.Add([]byte("\x82\x64held\xa1\x03\x9f\xff"))                             // an array of indefinite length
	f.Add([]byte("\x82\x64held\xa2\x01\x61a\x01\x61b"))                       // a map with a duplicate key
	f.Add([]byte("\x82\x64held\xc1\x00"))                                     // a tag, which no message uses
	f.Add([]byte("\x82\x64held" + strings.Repeat("\x81", 100) + "\x00"))      // arrays nested deeper than the decoder allows
	f.Fuzz(func(t *testing.T, frame []byte) {
		is := is.New(t)
		before := handled
		answer := e.handleFrame(t.Context(), "host-a", frame)
		is.Equal(answer.Status == statusOK, handled > before) // the answer is a success exactly if the handler ran
		is.Equal(len(h.slots), 0)
		if answer.Status == statusOK {
			is.NoErr(codec.dec.Wellformed(answer.Body))
		}
	})
}
