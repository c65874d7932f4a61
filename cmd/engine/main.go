// Command engine is a stand-in for a model engine.
package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"papayaspoke/core/ident"
	"papayaspoke/io/logs"
	"papayaspoke/io/standin/engine"
)

// crashed is the exit status after a prompt that crashes the engine.
const crashed = 3

func main() {
	listen, daemons := "127.0.0.1:0", ""
	name, model, centre := "engine", "base", "local"
	slots, batch, tokens := 4, 8, 16
	token, load, lag, grace := 10*time.Millisecond, 250*time.Millisecond, time.Duration(0), 30*time.Second
	crash, failures, seed, incarnation := "", 0.0, uint64(1), uint64(0)
	ignoreFence, noResume := false, false

	flaggy.SetName("engine")
	flaggy.SetDescription("stand-in for a model engine. Example: engine --listen 127.0.0.1:9001 --name e1 --daemons 127.0.0.1:7001")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&listen, "", "listen", "address to listen on")
	flaggy.String(&daemons, "", "daemons", "addresses of daemons, separated by commas")
	flaggy.String(&name, "", "name", "name of the replica")
	flaggy.String(&model, "", "model", "name of the base model")
	flaggy.String(&centre, "", "dc", "data centre")
	flaggy.Int(&slots, "", "slots", "adapter slots")
	flaggy.Int(&batch, "", "batch", "largest batch")
	flaggy.Int(&tokens, "", "tokens", "most pieces in one answer")
	flaggy.Duration(&token, "", "token", "time between pieces")
	flaggy.Duration(&load, "", "load", "time to load an adapter")
	flaggy.Duration(&lag, "", "lag", "lag of reports")
	flaggy.Duration(&grace, "", "grace", "time to finish after SIGTERM")
	flaggy.String(&crash, "", "crash", "word in a prompt that crashes the engine")
	flaggy.Float64(&failures, "", "fail", "share of loads that fail")
	flaggy.UInt64(&seed, "", "seed", "seed of the failures")
	flaggy.UInt64(&incarnation, "", "incarnation", "number of this run of the process; drawn from the clock if zero")
	flaggy.Bool(&ignoreFence, "", "ignore-fence", "carry out orders with an old fencing number")
	flaggy.Bool(&noResume, "", "no-resume", "do not resume streams")
	flaggy.Parse()

	log := logs.New(os.Stdout, 0)
	opts := engine.Options{
		Daemons: split(daemons), MaxChunks: tokens, NextChunkAt: engine.After(token), LoadedAt: engine.After(load),
		ReportedAt: engine.After(lag), CrashWord: crash, Crash: func() { os.Exit(crashed) },
		LoadFailures: failures, Seed: seed, Log: log,
	}
	opts.Self.Name, opts.Self.Model = ident.Upstream(name), ident.Model(model)
	opts.Self.Incarnation = ident.Incarnation(incarnation)
	opts.Self.DataCentre = ident.DataCentre(centre)
	opts.Self.Slots, opts.Self.MaxBatch = slots, batch
	opts.Self.HonoursFence, opts.Self.Resumes = !ignoreFence, !noResume
	e, err := engine.Start(listen, opts)
	if err != nil {
		log.Error(err, "cannot start")
		os.Exit(1)
	}
	log.Info("listening", "address", e.Addr(), "name", name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := e.Stop(end); err != nil {
		log.Error(err, "stopped early")
		os.Exit(1)
	}
	log.Info("stopped")
}

func split(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
