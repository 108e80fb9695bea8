package beryllog_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/beryllog"
)

// A burst of one message, such as 500 refusals when many callers retry at once, is limited, its dropped lines are reported, and
// other messages are still written.
func TestLimitMessageRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		log, err := beryllog.New(&out, "info")
		is.NoErr(err)
		beryllog.LimitMessageRate(log, 10, "request: refused")
		for range 500 {
			log.Info("request: refused")
		}
		log.Warn("store: lost")
		is.Equal(strings.Count(out.String(), "request: refused"), 10)
		is.Equal(strings.Count(out.String(), "store: lost"), 1)
		time.Sleep(time.Second)
		log.WithField("host", "h1").Info("host: stopped")
		is.True(strings.Contains(out.String(), `"host":"h1","level":"warning","lines":490,"message":"request: refused"`))
		log.Info("request: refused")
		is.Equal(strings.Count(out.String(), `"msg":"request: refused"`), 11)
		is.Equal(strings.Count(out.String(), "left out"), 1)
	})
}
