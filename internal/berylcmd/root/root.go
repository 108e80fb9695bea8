package root

import (
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"berylroad.example/berylroad/internal/berylcmd/config/apply"
	"berylroad.example/berylroad/internal/berylcmd/config/check"
	"berylroad.example/berylroad/internal/berylcmd/config/view"
	"berylroad.example/berylroad/internal/berylcmd/demo"
	diskrun "berylroad.example/berylroad/internal/berylcmd/disk/run"
	entrylift "berylroad.example/berylroad/internal/berylcmd/entry/lift"
	entryrun "berylroad.example/berylroad/internal/berylcmd/entry/run"
	entrystatus "berylroad.example/berylroad/internal/berylcmd/entry/status"
	"berylroad.example/berylroad/internal/berylcmd/explain"
	"berylroad.example/berylroad/internal/berylcmd/factory"
	jobcancel "berylroad.example/berylroad/internal/berylcmd/job/cancel"
	jobresults "berylroad.example/berylroad/internal/berylcmd/job/results"
	jobsubmit "berylroad.example/berylroad/internal/berylcmd/job/submit"
	jobview "berylroad.example/berylroad/internal/berylcmd/job/view"
	"berylroad.example/berylroad/internal/berylcmd/key/createca"
	"berylroad.example/berylroad/internal/berylcmd/key/createcaller"
	"berylroad.example/berylroad/internal/berylcmd/key/createhost"
	"berylroad.example/berylroad/internal/berylcmd/load/compare"
	"berylroad.example/berylroad/internal/berylcmd/serve"
	settingscheck "berylroad.example/berylroad/internal/berylcmd/settings/check"
	"berylroad.example/berylroad/internal/berylcmd/version"
	"berylroad.example/berylroad/internal/berylsettings"
)

// Command is the root of the command tree, with the global flags.
type Command struct {
	// SettingsFile is the path of a settings file.
	SettingsFile string `name:"settings" help:"Settings file in JSON with comments; flags and the environment take precedence over it." type:"path" env:"BERYLROAD_SETTINGS" placeholder:"FILE"`

	// Serve runs a host.
	Serve serve.Options `cmd:"" help:"Run one host."`
	// Entry groups the commands on entry hosts on the users' platform.
	Entry struct {
		Run    entryrun.Options    `cmd:"" help:"Run one entry host."`
		Status entrystatus.Options `cmd:"" help:"Show the status of an entry host."`
		Lift   entrylift.Options   `cmd:"" help:"Lift a quarantine of prompt parts."`
	} `cmd:"" help:"Work with entry hosts on the users' platform."`
	// Disk groups the commands on hosts with a disk on the users' platform.
	Disk struct {
		Run diskrun.Options `cmd:"" help:"Run one host with a disk."`
	} `cmd:"" help:"Work with hosts that have a disk on the users' platform."`
	// Settings groups the commands on settings files.
	Settings struct {
		Check settingscheck.Options `cmd:"" help:"Check the platform's settings file."`
	} `cmd:"" name:"settings" help:"Work with the users' platform's settings files."`
	// Explain shows what happened to one request, job or item.
	Explain explain.Options `cmd:"" help:"Show what happened to one request, job or item."`
	// Demo runs a small fleet in one process and sends it a request and a job.
	Demo demo.Options `cmd:"" help:"Run a small fleet with stand-ins in one process and send it a request and a job."`
	// Config groups the commands on the fleet's configuration.
	Config struct {
		Check check.Options `cmd:"" help:"Check a configuration file."`
		Apply apply.Options `cmd:"" help:"Apply a configuration to the whole fleet."`
		View  view.Options  `cmd:"" help:"Print the configuration in force."`
	} `cmd:"" help:"Work with the fleet's inventory and rules."`
	// Job groups the commands on batch jobs.
	Job struct {
		Submit  jobsubmit.Options  `cmd:"" help:"Submit a file of items as one job."`
		View    jobview.Options    `cmd:"" help:"Show the state of a job."`
		Results jobresults.Options `cmd:"" help:"Print a job's results."`
		Cancel  jobcancel.Options  `cmd:"" help:"Cancel a job."`
	} `cmd:"" help:"Work with batch jobs."`
	// Load groups the commands that run load tests.
	Load struct {
		Compare compare.Options `cmd:"" help:"Measure the routing policy against its baselines."`
	} `cmd:"" help:"Measure a fleet under load."`
	// Key groups the commands that create certificates and API keys.
	Key struct {
		CreateCA     createca.Options     `cmd:"" name:"create-ca" help:"Create the fleet's certificate authority."`
		CreateHost   createhost.Options   `cmd:"" help:"Create a host's certificate and key."`
		CreateCaller createcaller.Options `cmd:"" help:"Create a caller's API key."`
	} `cmd:"" help:"Create keys and certificates."`
	// Version prints the build of the program.
	Version version.Options `cmd:"" help:"Print the build of the program."`
}

// Run parses the arguments and runs the selected command. It does not print the error that it returns.
func Run(f *factory.Factory, arguments []string) error {
	options := []kong.Option{
		kong.Name("berylroad"),
		kong.Description("Serve online and batch inference on one fleet."),
		kong.Writers(f.IO.Out, f.IO.ErrOut),
		kong.ShortUsageOnError(),
		kong.Bind(f),
	}
	if path := findSettingsFile(arguments); path != "" {
		resolver, err := berylsettings.Load(path)
		if err != nil {
			return err
		}
		options = append(options, kong.Resolvers(resolver))
	}
	helpShown := false
	options = append(options, kong.Exit(func(int) { helpShown = true }))
	parser, err := kong.New(&Command{}, options...)
	if err != nil {
		return err
	}
	if len(arguments) == 0 {
		arguments = []string{"--help"}
	}
	parsed, err := parser.Parse(arguments)
	if helpShown {
		return nil
	}
	if err != nil {
		return &factory.FlagError{Err: err}
	}
	// Context.Run would join the error with that of a hook, which hides the hints of the error.
	return parsed.RunNode(parsed.Selected())
}

// findSettingsFile returns the path of the settings file from the arguments or the environment. It runs before kong parses the
// arguments, because kong accepts resolvers only before parsing.
func findSettingsFile(arguments []string) string {
	const flag = "--settings"
	for i, argument := range arguments {
		if value, ok := strings.CutPrefix(argument, flag+"="); ok {
			return value
		}
		if argument == flag && i+1 < len(arguments) {
			return arguments[i+1]
		}
	}
	return os.Getenv("BERYLROAD_SETTINGS")
}
