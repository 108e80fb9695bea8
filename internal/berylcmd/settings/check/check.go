package check

import (
	"fmt"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	berylplatform "berylroad.example/berylroad/platform"
)

// Options are the command's flags.
type Options struct {
	// File is the platform's settings file.
	File string `arg:"" help:"Settings file that the platform writes." type:"path"`
}

// Help is the command's longer help.
func (o *Options) Help() string {
	return `Checks a settings file of the users' platform and reports all mistakes at once, each with its line.

Example:
  berylroad settings check /etc/berylroad/node.conf`
}

// Run checks the file.
func (o *Options) Run(f *factory.Factory) error {
	settings, err := berylplatform.LoadSettings(o.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(f.IO.Out, "%s: host %s in %s is fine\n", o.File, settings.Host, settings.FailureDomain)
	return nil
}
