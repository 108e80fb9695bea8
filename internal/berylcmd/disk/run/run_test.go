package run_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylcmd/disk/run"
	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/nodelog"
)

// A disk may be erased, lost or replaced at any time, so the command must not write anything to it.
func TestDiskHoldsNothing(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	disk := filepath.Join(folder, "disk")
	is.NoErr(os.Mkdir(disk, 0o700))
	settings := filepath.Join(folder, "node.conf")
	is.NoErr(os.WriteFile(settings, []byte("nodeName=disk-1\nserves=storage\nipAddress=127.0.0.1\nzone=z\nregion=r\n"+
		"internalPorts=7720,7735\nplatform.address=127.0.0.1:1\ndataDirectory="+disk+"\n"), 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	options := run.Options{Flags: nodelog.Flags{LogLevel: "error", NodeFile: settings}}
	is.NoErr(options.Run(&factory.Factory{Context: ctx}))
	entries, err := os.ReadDir(disk)
	is.NoErr(err)
	is.Equal(len(entries), 0)
}
