package berylsettings

import (
	"encoding/json"
	"os"

	"github.com/alecthomas/kong"
	"github.com/tailscale/hujson"

	"berylroad.example/berylroad/internal/beryljson"
)

const maxSettingsBytes = 1 << 20

// Resolver gives kong the values of a settings file for the flags that neither the command line nor the environment set.
type Resolver struct {
	values map[string]any
}

// Load reads a settings file in JSON with comments; the error is a *beryljson.Problems where the content is wrong.
func Load(path string) (*Resolver, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if len(data) > maxSettingsBytes {
		return nil, &beryljson.Problems{File: path, List: []beryljson.Problem{{Message: "is over 1 MiB; a settings file is small"}}}
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

// Validate accepts every command; the file was checked when it was read.
func (r *Resolver) Validate(*kong.Application) error {
	return nil
}

// Resolve returns the file's value for a flag, or nil where the environment or nothing sets it.
func (r *Resolver) Resolve(_ *kong.Context, _ *kong.Path, flag *kong.Flag) (any, error) {
	for _, name := range flag.Envs {
		// kong asks resolvers after it has read the environment, which must win.
		if _, set := os.LookupEnv(name); set {
			return nil, nil
		}
	}
	return r.values[flag.Name], nil
}
