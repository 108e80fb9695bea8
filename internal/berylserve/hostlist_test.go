package berylserve

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
	"berylroad.example/berylroad/internal/beryletcd"
)

func TestListedLeaving(t *testing.T) {
	is := is.New(t)
	var l hostList
	before, changed := l.leavingHosts()
	is.Equal(len(before), 0)
	l.setLeaving(leavingNames([]beryletcd.ListedHost{
		{Name: "b", State: beryletcd.HostLeaving},
		{Name: "c", State: beryletcd.HostLive},
		{Name: "a", State: beryletcd.HostLeaving},
	}))
	<-changed
	leaving, next := l.leavingHosts()
	is.True(slices.Equal(leaving, []string{"a", "b"}))
	l.setLeaving([]string{"b", "a"})
	select {
	case <-next:
		t.Error("an unchanged list was reported as a change")
	default:
	}
	document := &berylconf.Document{Rules: berylconf.Rules{Leaving: []string{"x"}}}
	is.True(slices.Equal(mergeLeaving(document, leaving).Rules.Leaving, []string{"x", "a", "b"}))
	is.True(slices.Equal(document.Rules.Leaving, []string{"x"})) // the installed document is shared and must not change
}
