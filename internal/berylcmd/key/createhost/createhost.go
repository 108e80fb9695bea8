package createhost

import (
	"fmt"
	"net"
	"time"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/key/keyfile"
)

// Options are the command's flags and what it works with.
type Options struct {
	// Folder holds ca.pem and ca-key.pem and takes the new files.
	Folder string `arg:"" help:"Folder with ca.pem and ca-key.pem, which takes NAME.pem and NAME-key.pem." type:"path"`
	// Name is the host's name.
	Name string `arg:"" help:"The host's name, as in the inventory."`
	// IP lists the host's addresses.
	IP []net.IP `help:"IP addresses of the host." placeholder:"IP"`

	// IO are the streams.
	IO factory.IOStreams `kong:"-"`
	// Now is the start of the certificate's life.
	Now time.Time `kong:"-"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Makes the certificate and key by which a host proves its name to other hosts.

Examples:
  berylroad key create-host keys host-1 --ip 10.0.0.7`
}

// Run fills in what the command works with and runs it.
func (o *Options) Run(f *factory.Factory) error {
	o.IO = f.IO
	o.Now = time.Now()
	return runCreateHost(o)
}

func runCreateHost(o *Options) error {
	authority, err := keyfile.ReadPair(o.Folder, "ca")
	if err != nil {
		return err
	}
	pair, err := authority.CreateHost(o.Now, o.Name, o.IP...)
	if err != nil {
		return err
	}
	if err := keyfile.WritePair(o.Folder, o.Name, pair); err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.IO.Out, "wrote %s.pem and %s-key.pem in %s\n", o.Name, o.Name, o.Folder)
	return err
}
