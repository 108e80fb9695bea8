package createca

import (
	"fmt"
	"time"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/key/keyfile"
	"berylroad.example/berylroad/internal/berylkey"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// Folder is where ca.pem and ca-key.pem are written.
	Folder string `arg:"" help:"Folder for ca.pem and ca-key.pem." type:"path"`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
	// Now is the time from which the certificate is valid.
	Now time.Time `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Creates the certificate authority that signs the certificates by which hosts authenticate to each
other. Keep ca-key.pem off the hosts.

Examples:
  berylroad key create-ca keys`
}

// Run sets the command's dependencies from the factory and runs the command.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	o.Now = time.Now()
	return runCreateCA(o)
}

func runCreateCA(o *Options) error {
	pair, err := berylkey.CreateCA(o.Now)
	if err != nil {
		return err
	}
	if err := keyfile.WritePair(o.Folder, "ca", pair); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.IO.Out, "wrote ca.pem and ca-key.pem in %s\n", o.Folder)
	return err
}
