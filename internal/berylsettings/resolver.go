package berylsettings

import (
	"encoding/json"
	"os"

	"github.com/alecthomas/kong"
	"github.com/tailscale/hujson"

	"berylroad.example/berylroad/internal/beryljson"
)

// maxSettingsBytes is the maximum size of a settings file.
const maxSettingsBytes = 1 << 20

// Resolver supplies kong with the values of a settings file, for flags that neither the command line nor the environment sets.
type Resolver struct {
	values map[string]any
}

// Load reads a settings file in JSON with comments. If its content is invalid, the error is a *beryljson.Problems.
func Load(path string) (*Resolver, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(data) > maxSettingsBytes {
		return nil, &beryljson.Problems{File: path, List: []beryljson.Problem{{Message: "is larger than 1 MiB, the maximum for a settings file"}}}
	}
	if _, err := beryljson.Decode(path, data, &Settings{}); err != nil {
		return nil, err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return nil, err
	}
	r := &Resolver{}
	return r, json.Unmarshal(plain, &r.values)
}

// Validate implements kong.Resolver. It has nothing to do, because Load has checked the file.
func (r *Resolver) Validate(*kong.Application) error {
	return nil
}

// Resolve returns the file's value for a flag, or nil if the environment sets the flag or the file does not.
func (r *Resolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	for _, name := range flag.Envs {
		// kong calls resolvers after it has read the environment, which takes precedence.
		if _, set := os.LookupEnv(name); set {
			return nil, nil
		}
	}
	return r.values[flag.Name], nil
}
