package root_test

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/root"
	"berylroad.example/berylroad/internal/berylstandin"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"berylroad": func() {
			f := &factory.Factory{IO: factory.System(), Context: context.Background()}
			os.Exit(factory.ReportError(f.IO.ErrOut, root.Run(f, os.Args[1:])))
		},
		"berylroad-standin": func() {
			streams := berylstandin.Streams{Out: os.Stdout, Err: os.Stderr}
			os.Exit(berylstandin.Main(context.Background(), os.Args[1:], streams))
		},
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}
