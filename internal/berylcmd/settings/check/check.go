package check

import (
	"fmt"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	berylplatform "berylroad.example/berylroad/platform"
)

// Options holds the command's flags.
type Options struct {
	// File is the path of a settings file of the platform.
	File string `arg:"" help:"Settings file that the platform writes." type:"path"`
}

// Help returns the detailed help text of the command.
func (o *Options) Help() string {
	return `Checks a settings file of the users' platform and reports all problems at once, each with its line.

Example:
  berylroad settings check /etc/berylroad/node.conf`
}

// Run checks the file and prints the host's name and failure domain.
func (o *Options) Run(f *factory.Factory) error {
	settings, err := berylplatform.LoadSettings(o.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(f.IO.Out, "%s: host %s in %s is fine\n", o.File, settings.Host, settings.FailureDomain)
	return nil
}
