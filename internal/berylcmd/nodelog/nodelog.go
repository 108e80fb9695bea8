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

// maxFrequentLinesPerSecond is how many lines a second are written of each frequent message: above what a host of 0.4 of a core can
// serve, and 0.3% of a core.
const maxFrequentLinesPerSecond = 300

// Flags are what both roles take.
type Flags struct {
	// LogLevel is the least level that is written.
	LogLevel string `help:"Least level that is logged: debug, info, warning or error." default:"info"`
	// NodeFile names the platform's settings file.
	NodeFile string `help:"Settings file that the platform writes." env:"BERYLROAD_NODE_FILE" type:"path" placeholder:"FILE"`
}

// Node is a process's settings and log.
type Node struct {
	// Settings are the platform's.
	Settings berylentry.Settings
	// LogWriter takes the log's lines; close it last.
	LogWriter *beryllog.Writer
	// Log names the host in each line.
	Log *logrus.Entry
}

// Start reads the settings, again at each SIGHUP, and opens the log on standard output.
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
	standardlog.SetOutput(log.WithField("host", settings.Host).WriterLevel(logrus.WarnLevel)) // what libraries say
	node := &Node{Settings: settings, LogWriter: lines, Log: log.WithField("host", settings.Host)}
	berylplatform.ReloadOnHangup(f.NodeFile, node.Log)
	return node, nil
}
