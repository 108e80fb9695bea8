package berylstandin

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Streams holds the output streams of a command.
type Streams struct {
	// Out receives results.
	Out io.Writer
	// Err receives messages.
	Err io.Writer
}

// command is the root of the command tree.
type command struct {
	Engine   engineOptions   `cmd:"" help:"Play a model engine."`
	Service  serviceOptions  `cmd:"" help:"Play a plain service, which echoes."`
	Platform platformOptions `cmd:"" help:"Play the platform's key-value service."`
	Hosts    hostsOptions    `cmd:"" help:"Play the platform's host list."`
}

// listenOptions holds the flags of every stand-in.
type listenOptions struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:0" placeholder:"IP:PORT"`
}

// server is a running stand-in.
type server interface {
	// URL returns the URL under which the stand-in serves.
	URL() string
	// Close stops the stand-in.
	Close()
}

// Main runs the command line in args and returns the exit code. A stand-in serves until ctx ends or SIGINT or SIGTERM arrives.
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

// serve prints the stand-in's URL, the only line of output, and closes the stand-in when ctx ends or a signal arrives.
func serve(ctx context.Context, streams Streams, s server) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	fmt.Fprintln(streams.Out, s.URL())
	<-ctx.Done()
	s.Close()
	return nil
}
