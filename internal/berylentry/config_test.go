package berylentry

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylfake"
	"berylroad.example/berylroad/internal/berylroute"
	"berylroad.example/berylroad/internal/berylstore"
)

// versionDecoder decodes a configuration whose version is the length of its text, except one that begins with a question mark.
type versionDecoder struct {
	Decoder
}

func (versionDecoder) IsConfig(string) bool { return true }

func (versionDecoder) Config(value []byte) (*berylroute.Config, error) {
	if value[0] == '?' {
		return nil, errors.New("of a newer form")
	}
	return &berylroute.Config{Version: int64(len(value))}, nil
}

// Guards against a host of an older build that takes its configuration for the newest one because it can't decode that.
func TestConfigurationThatCannotBeDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := &berylfake.MemoryStore{}
		write := func(value string) berylroute.Acceptance {
			result := store.Commit(t.Context(), berylstore.Txn{Puts: []berylstore.Put{{Key: "op/config", Value: []byte(value)}}})
			time.Sleep(time.Second)
			return berylroute.Acceptance{Revision: result.Revision}
		}
		h := New(Config{Decoder: versionDecoder{}, Store: store, OperatorPrefix: "op/", Log: log})
		go h.operatorItems.Run(t.Context())
		first := write("1")
		is.True(!h.routes.Copy().Outdated())
		is.True(h.routes.Copy().Covers(first))

		unreadable := write("??")
		is.Equal(h.routes.Get().Version, int64(1))
		is.True(h.routes.Copy().Outdated())
		is.True(h.routes.Copy().Covers(first))
		is.True(!h.routes.Copy().Covers(unreadable))

		last := write("333")
		is.Equal(h.routes.Get().Version, int64(3))
		is.True(!h.routes.Copy().Outdated())
		is.True(h.routes.Copy().Covers(last))
	})
}
