package beryldrain

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestAdmission runs the script in testdata. Each line is an event of one host; the output is whether requests were admitted.
func TestAdmission(t *testing.T) {
	var stop *Stop
	now := time.Unix(1000, 0)
	datadriven.RunTest(t, "testdata/admission", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "reset" || stop == nil {
			stop = &Stop{}
		}
		var b strings.Builder
		for _, line := range strings.Fields(strings.ReplaceAll(d.Input, " ", ",")) {
			event, rest, _ := strings.Cut(line, ",")
			args := make(map[string]string)
			for _, field := range strings.Split(rest, ",") {
				name, value, _ := strings.Cut(field, "=")
				args[name] = value
			}
			span := func(text string) time.Duration {
				value, err := time.ParseDuration(text)
				if err != nil {
					t.Fatal(err)
				}
				return value
			}
			request := Request{Route: args["route"]}
			_, _ = fmt.Sscan(args["tokens"], &request.Tokens) // absent in most lines
			switch event {
			case "observe":
				times := 0
				_, _ = fmt.Sscan(args["times"], &times)
				for range times {
					stop.Observe(request, span(args["took"]))
				}
			case "stop":
				stop.Begin(now.Add(span(args["notice"])), now.Add(span(args["end"])))
			case "after":
				now = now.Add(span(rest))
			case "admit":
				request.Deadline = now.Add(span(args["deadline"]))
				if stop.Admits(request, now) {
					b.WriteString("admitted\n")
				} else {
					b.WriteString("refused\n")
				}
			default:
				t.Fatalf("unknown event %q", event)
			}
		}
		return b.String()
	})
}

// The wait of a request ends when it can no longer finish, whether it began before the notice or after.
func TestAwaitStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stop Stop
		request := Request{Route: "a", Deadline: time.Now().Add(time.Hour)}
		for range minSamples {
			stop.Observe(request, time.Second)
		}
		before, cancelBefore := stop.AwaitStart(t.Context(), request)
		defer cancelBefore()
		began := time.Now()
		stop.Begin(began.Add(3*time.Second), began.Add(6*time.Second))
		after, cancelAfter := stop.AwaitStart(t.Context(), request)
		defer cancelAfter()
		short, cancelShort := stop.AwaitStart(t.Context(), Request{Route: "b", Deadline: began.Add(5 * time.Second)})
		defer cancelShort()
		for _, ctx := range []context.Context{before, after} {
			<-ctx.Done()
			if waited := time.Since(began); !errors.Is(context.Cause(ctx), ErrStopping) || waited < 3*time.Second || waited > 5*time.Second {
				t.Errorf("ended after %v: %v", waited, context.Cause(ctx))
			}
		}
		time.Sleep(time.Until(began.Add(5 * time.Second)))
		if short.Err() != nil {
			t.Error("the wait of a request that ends before the host was ended")
		}
	})
}

// A nil Stop is a host that never stops.
func TestNilStop(t *testing.T) {
	var stop *Stop
	stop.Observe(Request{}, time.Second)
	ctx, cancel := stop.AwaitStart(t.Context(), Request{})
	defer cancel()
	if !stop.Admits(Request{}, time.Now()) || ctx.Err() != nil {
		t.Error("a request was refused")
	}
}

func BenchmarkAwaitStart(b *testing.B) {
	var stop Stop
	for b.Loop() {
		_, cancel := stop.AwaitStart(b.Context(), Request{Route: "a"})
		cancel()
	}
}
