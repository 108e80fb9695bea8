// Command berylroad-standin simulates the external systems (the platform and upstreams) in tests and demonstrations.
package main

import (
	"context"
	"os"

	"berylroad.example/berylroad/internal/berylstandin"
)

func main() {
	streams := berylstandin.Streams{Out: os.Stdout, Err: os.Stderr}
	os.Exit(berylstandin.Main(context.Background(), os.Args[1:], streams))
}
