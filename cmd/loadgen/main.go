// Command loadgen sends requests at a given rate, as many API clients would,
// and checks the answers. It exits with status 1 if any answer was wrong.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"papayaspoke/core/ident"
	"papayaspoke/io/standin/engine"
	"papayaspoke/io/standin/load"
)

func main() {
	daemons, classes, nameFormat := "127.0.0.1:7000", "", "adapter-%04d@1"
	adapters, requests, workers, maxTokens := 100, 100, 16, 16
	rate, skew, seed := 20.0, 1.2, uint64(1)
	duration, timeout := 30*time.Second, 10*time.Second
	jsonOnly, foreignEngines := false, false

	flaggy.SetName("loadgen")
	flaggy.SetDescription("sends requests and checks the answers. Example: loadgen --daemons 127.0.0.1:7000 --classes urgent=1,letters=4 --requests 500 --rate 50")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&daemons, "", "daemons", "addresses where daemons accept requests, separated by commas")
	flaggy.String(&classes, "", "classes", "classes and their weights, as name=weight, separated by commas")
	flaggy.String(&nameFormat, "", "adapter", "format of the adapters' names")
	flaggy.Int(&adapters, "", "adapters", "number of adapters")
	flaggy.Int(&requests, "", "requests", "maximum number of requests")
	flaggy.Int(&workers, "", "workers", "maximum number of requests in flight")
	flaggy.Int(&maxTokens, "", "tokens", "maximum number of tokens in one answer")
	flaggy.Float64(&rate, "", "rate", "requests per second")
	flaggy.Float64(&skew, "", "skew", "Zipf exponent of the adapters' popularity, above 1")
	flaggy.UInt64(&seed, "", "seed", "random seed of the sequence of requests")
	flaggy.Duration(&duration, "", "time", "time after which no more requests are sent")
	flaggy.Duration(&timeout, "", "patience", "timeout of a request, counted from when it is due")
	flaggy.Bool(&jsonOnly, "", "json", "print JSON only")
	flaggy.Bool(&foreignEngines, "", "foreign", "the engines are not stand-ins: check only that answers name the adapter")
	flaggy.Parse()

	mix, err := parseMix(classes)
	if err != nil || rate <= 0 {
		exitWithError("invalid classes or rate:", err)
	}
	o := load.Options{
		Daemons: strings.Split(daemons, ","), Adapters: adapters, Skew: skew, Seed: seed,
		Requests: requests, Workers: workers, MaxTokens: maxTokens, Mix: mix, Verify: engine.Verify,
		Name: func(i int) ident.Adapter {
			a, err := ident.ParseAdapter(fmt.Sprintf(nameFormat, i))
			if err != nil {
				exitWithError("invalid format of the adapters' names:", err)
			}
			return a
		},
		DueAt: func(start time.Time, i int) time.Time {
			return start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		},
		StopAt:     engine.After(duration),
		DeadlineAt: engine.After(timeout),
	}
	if foreignEngines {
		o.Verify = nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	summary, err := load.Run(ctx, o)
	if err != nil {
		exitWithError("cannot run the load:", err)
	}
	if !jsonOnly {
		_ = summary.WriteTable(os.Stdout)
	}
	_ = summary.WriteJSON(os.Stdout)
	if summary.Wrong() > 0 {
		exitWithError("wrong answers", nil)
	}
}

// parseMix parses name=weight pairs that are separated by commas. An empty
// string means that all requests are sent without a class.
func parseMix(s string) ([]load.ClassShare, error) {
	if s == "" {
		return []load.ClassShare{{Weight: 1}}, nil
	}
	var mix []load.ClassShare
	for part := range strings.SplitSeq(s, ",") {
		name, weight, _ := strings.Cut(part, "=")
		n, err := strconv.Atoi(weight)
		if err != nil {
			return nil, fmt.Errorf("class %q: %w", part, err)
		}
		mix = append(mix, load.ClassShare{Class: ident.Class(name), Weight: n})
	}
	return mix, nil
}

func exitWithError(message string, err error) {
	fmt.Fprintln(os.Stderr, "loadgen:", message, err)
	os.Exit(1)
}
