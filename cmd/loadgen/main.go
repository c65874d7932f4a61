// Command loadgen sends requests as many callers would and checks the
// answers. It exits with status 1 if an answer was wrong.
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
	daemons, classes, format := "127.0.0.1:7000", "", "adapter-%04d@1"
	adapters, requests, workers, tokens := 100, 100, 16, 16
	rate, skew, seed := 20.0, 1.2, uint64(1)
	end, patience := 30*time.Second, 10*time.Second
	asJSON, foreign := false, false

	flaggy.SetName("loadgen")
	flaggy.SetDescription("sends requests and checks the answers. Example: loadgen --daemons 127.0.0.1:7000 --classes urgent=1,letters=4 --requests 500 --rate 50")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&daemons, "", "daemons", "callers' addresses of daemons, separated by commas")
	flaggy.String(&classes, "", "classes", "classes and their weights")
	flaggy.String(&format, "", "adapter", "format of the adapters' names")
	flaggy.Int(&adapters, "", "adapters", "number of adapters")
	flaggy.Int(&requests, "", "requests", "most requests")
	flaggy.Int(&workers, "", "workers", "most requests in flight")
	flaggy.Int(&tokens, "", "tokens", "most pieces in one answer")
	flaggy.Float64(&rate, "", "rate", "requests a second")
	flaggy.Float64(&skew, "", "skew", "exponent of the popularity, above 1")
	flaggy.UInt64(&seed, "", "seed", "seed of the sequence")
	flaggy.Duration(&end, "", "time", "longest time to send")
	flaggy.Duration(&patience, "", "patience", "time until a request is given up")
	flaggy.Bool(&asJSON, "", "json", "print JSON only")
	flaggy.Bool(&foreign, "", "foreign", "engines are not stand-ins: check names only")
	flaggy.Parse()

	mix, err := parseMix(classes)
	if err != nil || rate <= 0 {
		fail("classes or rate are malformed", err)
	}
	o := load.Options{
		Daemons: strings.Split(daemons, ","), Adapters: adapters, Skew: skew, Seed: seed,
		Requests: requests, Workers: workers, MaxTokens: tokens, Mix: mix, Verify: engine.Verify,
		Name: func(i int) ident.Adapter {
			a, err := ident.ParseAdapter(fmt.Sprintf(format, i))
			if err != nil {
				fail("format of the adapters' names", err)
			}
			return a
		},
		DueAt: func(start time.Time, i int) time.Time {
			return start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
		},
		EndAt:    engine.After(end),
		GiveUpAt: engine.After(patience),
	}
	if foreign {
		o.Verify = nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s, err := load.Run(ctx, o)
	if err != nil {
		fail("cannot run", err)
	}
	if !asJSON {
		_ = s.WriteTable(os.Stdout)
	}
	_ = s.WriteJSON(os.Stdout)
	if s.Wrong() > 0 {
		fail("wrong answers", nil)
	}
}

func parseMix(s string) ([]load.Share, error) {
	if s == "" {
		return []load.Share{{Weight: 1}}, nil
	}
	var mix []load.Share
	for part := range strings.SplitSeq(s, ",") {
		name, weight, _ := strings.Cut(part, "=")
		n, err := strconv.Atoi(weight)
		if err != nil {
			return nil, fmt.Errorf("class %q: %w", part, err)
		}
		mix = append(mix, load.Share{Class: ident.Class(name), Weight: n})
	}
	return mix, nil
}

func fail(what string, err error) {
	fmt.Fprintln(os.Stderr, "loadgen:", what, err)
	os.Exit(1)
}
