package berylkey_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylkey"
)

func TestNewNamesTheHost(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ca, err := berylkey.CreateCA(now)
	is.NoErr(err)
	pair, err := ca.CreateHost(now, "host-a")
	is.NoErr(err)
	credentials, err := berylkey.New(now, ca.Cert, pair)
	is.NoErr(err)
	is.Equal(credentials.Name(), "host-a")
}
