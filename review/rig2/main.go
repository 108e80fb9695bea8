//go:build review

// Command rig2 plays the scripts of the second review: it starts the hosts of a small deployment as separate processes beside
// stand-ins of the platform, its replicas and its clients, and judges what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	began   = time.Now()
	trouble = os.Getenv("TROUBLE") != "0"

	recordMu   sync.Mutex
	recordFile *os.File

	cleanupMu sync.Mutex
	cleanups  []func()
)

// note writes a line to the record and to standard output.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = recordFile.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// detail writes a line to the record alone.
func detail(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	_, _ = fmt.Fprintf(recordFile, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

func atExit(f func()) {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	cleanups = append(cleanups, f)
}

func exit(code int) {
	cleanupMu.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func cannotRun(err error) {
	if err != nil {
		if recordFile != nil {
			note("the case can't run: %v", err)
		}
		exit(exitNotRun)
	}
}

// verdict ends the script.
func verdict(broken bool, format string, args ...any) {
	if broken {
		note("BROKEN: "+format, args...)
		exit(exitBroken)
	}
	note("held: "+format, args...)
	exit(exitHeld)
}

var cases = map[string]func(){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	var err error
	recordFile, err = os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; exit(exitNotRun) }()
	time.AfterFunc(115*time.Second, func() {
		note("the time of a script is over")
		exit(exitNotRun)
	})
	note("case %s, TROUBLE=%t", os.Args[1], trouble)
	cases[os.Args[1]]()
	exit(exitNotRun)
}
