package berylbuild

import (
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

func TestDescribe(t *testing.T) {
	is := is.New(t)
	build := &debug.BuildInfo{GoVersion: "go1.26", Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "8c973f0"}, {Key: "vcs.modified", Value: "true"}}}
	is.Equal(describe(build), Info{Commit: "8c973f0", Modified: true, Go: "go1.26"})
	is.Equal(describe(build).String(), "8c973f0+")
	is.Equal(describe(&debug.BuildInfo{}).String(), "unknown")
}
