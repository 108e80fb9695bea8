package berylsched

import (
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylpermit"
)

func TestYieldThatOvertakesItsPermit(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Host: "h1", Boot: 1})
	ask := berylpermit.Ask{ID: s.nextID(), Class: berylpermit.Batch}
	is.NoErr(s.HandleYield("h2", berylpermit.Yield{ID: ask.ID}))
	select {
	case <-s.hold(&ask, "u1", "h2").Yield:
	default:
		t.Fatal("the permit does not yield")
	}
}
