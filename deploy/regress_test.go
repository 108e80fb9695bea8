package deploy_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestRegress runs the regression script with scripts in place of the users' bench that print output in its format.
func TestRegress(t *testing.T) {
	script, err := filepath.Abs("regress")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/regress",
		Setup: func(env *testscript.Env) error {
			env.Setenv("REGRESS", script)
			env.Setenv("PATH", os.Getenv("PATH"))
			for _, site := range []string{
				"further/arenal-mayoreo", "further-grown/arenal-mayoreo-grown", "large/plcw-ribdesk-large",
				"grown/plcw-ribdesk-grown", "grown/rtut-affiches-grown", "sites/plcw-ribdesk",
			} {
				file := filepath.Join(env.WorkDir, "system", site+".toml")
				if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
					return err
				}
				if err := os.WriteFile(file, nil, 0o644); err != nil {
					return err
				}
			}
			return nil
		},
	})
}
