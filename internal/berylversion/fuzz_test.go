package berylversion

import (
	"context"
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

func fuzzVersions() *Versions {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Config{Store: &berylfake.MemoryStore{}, Upstreams: &berylroute.Registry{Log: log}, Routes: &berylroute.CurrentConfig{}, StoreAway: func() bool { return false }, Log: log})
}

// FuzzRecord checks that no bytes in the store end the process, and that a record that can't be read changes nothing.
func FuzzRecord(f *testing.F) {
	for _, r := range []any{record{}, record{Versions: []Listed{{Version: "v1", AddedAtMillis: 7}, {}}}, "text", nil} {
		value, err := cbor.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(value)
	}
	f.Add([]byte("\xff\x00"))
	f.Fuzz(func(t *testing.T, value []byte) {
		v := fuzzVersions()
		v.apply([]berylstore.Event{{Item: berylstore.Item{Key: Prefix + "s", Value: value, Revision: 1}}}, 1)
		var r record
		if cbor.Unmarshal(value, &r) != nil && v.records["s"] != 0 {
			t.Fatal("a record that can't be read was installed")
		}
		v.MayBegin("s", "v1")
	})
}

// FuzzMessage checks that no message of another host ends the process, and that an attempt keeps its first origin.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{{}, {IDs: []string{"a", "b"}, Origin: Origin{Service: "s", Version: "v1"}}, {Ask: "a"}} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if cbor.Unmarshal(data, &m) != nil {
			return
		}
		v := fuzzVersions()
		known := Origin{Service: "s", Version: "v0"}
		v.HandleMessage(context.Background(), "h", Message{IDs: []string{"a"}, Origin: known})
		v.HandleMessage(context.Background(), "h", m)
		reply, err := v.HandleMessage(context.Background(), "h", Message{Ask: "a"})
		if err != nil || !reply.Known || reply.Origin != known {
			t.Fatalf("the origin of a known attempt has changed to %v", reply)
		}
	})
}
