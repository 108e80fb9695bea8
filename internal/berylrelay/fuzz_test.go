package berylrelay

import (
	"bufio"
	"bytes"
	"slices"
	"testing"
	"testing/iotest"
)

// FuzzEvents checks that splitting arbitrary input into events loses, duplicates or reorders no byte, whatever the
// sizes of the reads.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\ndata: c\r\n\r\n: note\n\n"), true)
	f.Add([]byte("id: 99999999999999999999\n\nid: -1\ndata\n\n\n\n"), false)
	f.Add([]byte("data: cut in the mid"), false)
	f.Add(bytes.Repeat([]byte("x"), 2*eventBufferBytes), true)
	f.Fuzz(func(t *testing.T, sent []byte, single bool) {
		var from = bufio.NewReaderSize(bytes.NewReader(sent), 16)
		if single {
			from = bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(sent)), 16)
		}
		events := EventReader{Reader: from}
		var got []byte
		for {
			event, err := events.Next()
			if err != nil {
				break
			}
			data := bytes.Join(slices.Collect(event.Data()), []byte("\n"))
			if !bytes.HasSuffix(bytes.ReplaceAll(event.Raw, []byte("\r"), nil), []byte("\n")) || len(data) > len(event.Raw) || event.HasData != (len(data) > 0) {
				t.Fatalf("event %q with data %q", event.Raw, data)
			}
			got = append(got, event.Raw...)
		}
		if rest := append(got, events.Rest()...); !bytes.Equal(rest, sent) && len(sent) <= maxEventBytes {
			t.Fatalf("%q of %q", rest, sent)
		}
	})
}
