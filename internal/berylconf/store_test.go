package berylconf_test

import (
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylconf"
)

func TestStoreNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var s berylconf.Store
	is.Equal(s.Revision(), int64(0))
	changed := s.Changed()
	is.True(s.Install(&berylconf.Document{Revision: 5}))
	<-changed
	is.True(!s.Install(&berylconf.Document{Revision: 4}))
	is.True(!s.Install(&berylconf.Document{Revision: 5}))
	is.Equal(s.Revision(), int64(5))
	is.Equal(s.Rules().MaxAttempts, berylconf.Rules{}.WithDefaults().MaxAttempts)
}
