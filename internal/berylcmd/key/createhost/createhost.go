package createhost

import (
	"fmt"
	"net"
	"time"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/key/keyfile"
)

// Options holds the command's flags and its dependencies.
type Options struct {
	// Folder contains ca.pem and ca-key.pem and is where the new files are written.
	Folder string `arg:"" help:"Folder with ca.pem and ca-key.pem, where NAME.pem and NAME-key.pem are written." type:"path"`
	// Name is the host's name in the inventory. The certificate is issued for it, and the new files are named after it.
	Name string `arg:"" help:"Name of the host, as in the inventory."`
	// IP lists the IP addresses for which the certificate is valid in addition to the name.
	IP []net.IP `help:"IP addresses of the host." placeholder:"IP"`

	// IO holds the standard streams.
	IO factory.IOStreams `kong:"-"`
	// Now is the time from which the certificate is valid.
	Now time.Time `kong:"-"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Creates the certificate and key by which a host authenticates to other hosts.

Examples:
  berylroad key create-host keys host-1 --ip 10.0.0.7`
}

// Run sets the command's dependencies from the factory and runs the command.
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
