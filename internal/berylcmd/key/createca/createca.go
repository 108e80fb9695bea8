package createca

import (
	"fmt"
	"time"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/key/keyfile"
	"berylroad.example/berylroad/internal/berylkey"
)

// Options are the command's flags and what it works with.
type Options struct {
	// Folder takes ca.pem and ca-key.pem.
	Folder string `arg:"" help:"Folder for ca.pem and ca-key.pem." type:"path"`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
	// Now is the start of the certificate's life.
	Now time.Time `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Makes the authority whose certificates hosts show each other. Keep ca-key.pem off the hosts.

Examples:
  berylroad key create-ca keys`
}

// Run fills in what the command works with and runs it.
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
