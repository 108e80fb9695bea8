// Command berylroad serves online and batch inference on one fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"berylroad.example/berylroad/internal/berylcmd/factory"
	"berylroad.example/berylroad/internal/berylcmd/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f := &factory.Factory{IO: factory.System(), Context: ctx}
	err := root.Run(f, os.Args[1:])
	os.Exit(factory.ReportError(f.IO.ErrOut, err))
}
