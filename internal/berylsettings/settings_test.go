package berylsettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylsettings"
)

func parse(t *testing.T, file string, arguments ...string) (*berylsettings.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	resolver, err := berylsettings.Load(path)
	if err != nil {
		return nil, err
	}
	settings := &berylsettings.Settings{}
	parser, err := kong.New(settings, kong.Resolvers(resolver))
	if err != nil {
		return nil, err
	}
	_, err = parser.Parse(arguments)
	return settings, err
}

func TestOrderOfSources(t *testing.T) {
	is := is.New(t)
	t.Setenv("BERYLROAD_REGION", "from-environment")
	t.Setenv("BERYLROAD_HOST", "from-environment")
	file := `{
		"host": "from-file", "region": "from-file", "failure-domain": "from-file", // a comment
		"platform": ["http://127.0.0.1:1", "http://127.0.0.1:2"], "balancer-notice": "9s",
	}`
	settings, err := parse(t, file, "--host=from-flag")
	is.NoErr(err)
	is.Equal(settings.Host, "from-flag")
	is.Equal(settings.Region, "from-environment")
	is.Equal(settings.FailureDomain, "from-file")
	is.Equal(len(settings.Platform), 2)
	is.Equal(settings.BalancerNotice.Std().String(), "9s")
	is.Equal(settings.LogLevel, "info")
}

func TestFileProblems(t *testing.T) {
	for _, test := range []struct{ name, file, want string }{
		{"unknown key", "{\n \"hots\": \"a\"}", ":2:2: hots: is not a known key; remove it or check its spelling"},
		{"wrong type", `{"platform": "x"}`, `:1:14: platform: is "x", but must be a list`},
		{"not JSON", `{`, `:1:2: `},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := parse(t, test.file)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

func TestCheckNamesEverything(t *testing.T) {
	is := is.New(t)
	err := (&berylsettings.Settings{CallerAddress: "nowhere"}).Check()
	is.True(err != nil)
	for _, want := range []string{"host: is missing", "caller-address: \"nowhere\" is not", "platform: is missing", "key-file: is missing"} {
		is.True(strings.Contains(err.Error(), want))
	}
}
