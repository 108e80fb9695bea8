package nodelog

import (
	standardlog "log"
	"os"

	"github.com/sirupsen/logrus"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylentry"
	"berylroad.example/berylroad/internal/beryllog"
	berylplatform "berylroad.example/berylroad/platform"
)

// maxFrequentLinesPerSecond limits the lines of each frequent message. It is above the requests per second that a host with 0.4 of
// a core can serve, and writing that many lines takes 0.3% of a core.
const maxFrequentLinesPerSecond = 300

// Flags are the flags of both `entry run` and `disk run`.
type Flags struct {
	// LogLevel is the minimum level of log lines.
	LogLevel string `help:"Minimum level of log lines: debug, info, warning or error." default:"info"`
	// NodeFile is the path of the platform's settings file.
	NodeFile string `help:"Settings file that the platform writes." env:"BERYLROAD_NODE_FILE" type:"path" placeholder:"FILE"`
}

// Node holds the settings and the log of a process.
type Node struct {
	// Settings are the settings from the platform's file.
	Settings berylentry.Settings
	// LogWriter writes the log lines; it must be closed last.
	LogWriter *beryllog.Writer
	// Log is the logger, with the host's name in each line.
	Log *logrus.Entry
}

// Start reads the settings and opens the log on standard output. The settings file is read again at each SIGHUP.
func (f *Flags) Start() (*Node, error) {
	settings, err := berylplatform.LoadSettings(f.NodeFile)
	if err != nil {
		return nil, err
	}
	lines := beryllog.NewWriter(os.Stdout)
	log, err := beryllog.New(lines, f.LogLevel)
	if err != nil {
		lines.Close()
		return nil, &factory.FlagError{Err: err}
	}
	beryllog.LimitMessageRate(log, maxFrequentLinesPerSecond, "request: ended", "request: refused", "item: call ended")
	standardlog.SetFlags(0)
	standardlog.SetOutput(log.WithField("host", settings.Host).WriterLevel(logrus.WarnLevel)) // libraries log through the standard logger; their lines become warnings
	node := &Node{Settings: settings, LogWriter: lines, Log: log.WithField("host", settings.Host)}
	berylplatform.ReloadOnHangup(f.NodeFile, node.Log)
	return node, nil
}
