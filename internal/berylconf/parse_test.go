package berylconf_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		document, err := berylconf.Parse("fleet.json", []byte(d.Input))
		if err != nil {
			return err.Error()
		}
		v := document.Inventory
		return fmt.Sprintf("ok: %d hosts, %d upstreams, %d callers", len(v.Hosts), len(v.Upstreams), len(v.Callers))
	})
}

func TestEncodeParseRoundTrip(t *testing.T) {
	is := is.New(t)
	document := &berylconf.Document{Revision: 7, Rules: berylconf.Rules{}.WithDefaults()}
	document.Inventory.Hosts = []berylconf.Host{{Name: "a", Region: "r", FailureDomain: "f", PeerAddress: "127.0.0.1:1"}}
	data, err := berylconf.Encode(document)
	is.NoErr(err)
	parsed, err := berylconf.Parse("x", data)
	is.NoErr(err)
	is.Equal(parsed.Revision, int64(7))
	is.Equal(parsed.Rules, document.Rules)
}
