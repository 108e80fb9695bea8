package berylbuild

import (
	"runtime/debug"
	"sync"
)

// unknown is the commit of a build outside a repository.
const unknown = "unknown"

// Info describes a build.
type Info struct {
	// Commit is the commit that was built, or "unknown" if it was built without the repository.
	Commit string `json:"commit"`
	// Modified is true if the sources differed from the commit.
	Modified bool `json:"modified"`
	// Go is the version of the compiler.
	Go string `json:"go"`
}

// Current returns the build that runs.
var Current = sync.OnceValue(func() Info {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return Info{Commit: unknown}
	}
	return describe(build)
})

func describe(build *debug.BuildInfo) Info {
	info := Info{Commit: unknown, Go: build.GoVersion}
	for _, s := range build.Settings {
		switch s.Key {
		case "vcs.revision":
			info.Commit = s.Value
		case "vcs.modified":
			info.Modified = s.Value == "true"
		}
	}
	return info
}

// String returns the commit, with a plus if the sources differed from it.
func (i Info) String() string {
	if i.Modified {
		return i.Commit + "+"
	}
	return i.Commit
}
