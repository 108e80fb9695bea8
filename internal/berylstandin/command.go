package berylstandin

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Streams is where a command writes.
type Streams struct {
	// Out takes results.
	Out io.Writer
	// Err takes messages.
	Err io.Writer
}

// command is the tree of commands.
type command struct {
	Engine   engineOptions   `cmd:"" help:"Play a model engine."`
	Service  serviceOptions  `cmd:"" help:"Play a plain service, which echoes."`
	Platform platformOptions `cmd:"" help:"Play the platform's key-value service."`
	Hosts    hostsOptions    `cmd:"" help:"Play the platform's host list."`
}

// listenOptions is what every stand-in takes.
type listenOptions struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0" placeholder:"IP:PORT"`
}

// server is a running stand-in.
type server interface {
	// URL returns the address to call.
	URL() string
	// Close stops it.
	Close()
}

// Main runs the command line in args and returns the exit code; a stand-in serves until ctx ends or a signal asks it to stop.
func Main(ctx context.Context, args []string, streams Streams) int {
	parser, err := kong.New(&command{},
		kong.Name("berylroad-standin"),
		kong.Description("Plays the systems around berylroad in tests and demonstrations."),
		kong.Writers(streams.Out, streams.Err),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(streams),
	)
	if err != nil {
		panic(err)
	}
	selected, err := parser.Parse(args)
	if err == nil {
		err = selected.Run()
	}
	if err != nil {
		fmt.Fprintf(streams.Err, "berylroad-standin: %v\n", err)
		return 1
	}
	return 0
}

// serve prints the stand-in's URL as the only line on the output and waits for the end.
func serve(ctx context.Context, streams Streams, s server) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Fprintln(streams.Out, s.URL())
	<-ctx.Done()
	s.Close()
	return nil
}
