package berylonce

import (
	"reflect"
	"testing"
)

// FuzzRecord decodes arbitrary stored values; a record that is accepted must be the same after it is encoded and
// decoded again.
func FuzzRecord(f *testing.F) {
	f.Add(record{State: stateRunning, NeverRepeat: true, Caller: "c", Key: "k", Host: "h", Boot: 3}.encode())
	f.Add(record{State: stateDone, Answer: &Answer{Status: 200, Body: []byte("x")}}.encode())
	f.Add([]byte("\xa1\x01\x09"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeRecord(value)
		if err != nil {
			return
		}
		if r.State == stateDone && r.Answer == nil {
			t.Fatal("done without an answer")
		}
		again, err := decodeRecord(r.encode())
		if err != nil || !reflect.DeepEqual(again, r) {
			t.Fatalf("%+v is %+v after encoding and decoding, %v", r, again, err)
		}
	})
}
