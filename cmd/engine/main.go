// Command engine runs a stand-in for a model engine, for tests and demos.
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

// crashExitStatus is the exit status after a prompt that contains the crash
// word.
const crashExitStatus = 3

func main() {
	listen, daemons := "127.0.0.1:0", ""
	name, model, centre := "engine", "base", "local"
	slots, maxBatch, maxChunks := 4, 8, 16
	chunkInterval, loadTime, reportLag, grace := 10*time.Millisecond, 250*time.Millisecond, time.Duration(0), 30*time.Second
	crashWord, loadFailureRate, seed, incarnation := "", 0.0, uint64(1), uint64(0)
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
	flaggy.Int(&maxBatch, "", "batch", "maximum number of requests in a batch")
	flaggy.Int(&maxChunks, "", "tokens", "maximum number of chunks in one answer")
	flaggy.Duration(&chunkInterval, "", "token", "time between chunks")
	flaggy.Duration(&loadTime, "", "load", "time to load an adapter")
	flaggy.Duration(&reportLag, "", "lag", "age of a state report when it is sent")
	flaggy.Duration(&grace, "", "grace", "time to finish requests after SIGTERM")
	flaggy.String(&crashWord, "", "crash", "word in a prompt that crashes the engine")
	flaggy.Float64(&loadFailureRate, "", "fail", "fraction of loads that fail, from 0 to 1")
	flaggy.UInt64(&seed, "", "seed", "random seed of the failures")
	flaggy.UInt64(&incarnation, "", "incarnation", "incarnation number of the process; taken from the clock if zero")
	flaggy.Bool(&ignoreFence, "", "ignore-fence", "accept orders with an outdated fencing number")
	flaggy.Bool(&noResume, "", "no-resume", "do not resume streams")
	flaggy.Parse()

	log := logs.New(os.Stdout, 0)
	opts := engine.Options{
		Daemons: splitList(daemons), MaxChunks: maxChunks, NextChunkAt: engine.After(chunkInterval), LoadDoneAt: engine.After(loadTime),
		ReportedAt: engine.After(reportLag), CrashWord: crashWord, Crash: func() { os.Exit(crashExitStatus) },
		LoadFailureRate: loadFailureRate, Seed: seed, Log: log,
	}
	opts.Self.Name, opts.Self.Model = ident.Upstream(name), ident.Model(model)
	opts.Self.Incarnation = ident.Incarnation(incarnation)
	opts.Self.DataCentre = ident.DataCentre(centre)
	opts.Self.Slots, opts.Self.MaxBatch = slots, maxBatch
	opts.Self.HonoursFence, opts.Self.Resumes = !ignoreFence, !noResume
	e, err := engine.Start(listen, opts)
	if err != nil {
		log.Error(err, "cannot start the engine")
		os.Exit(1)
	}
	log.Info("listening", "address", e.Addr(), "name", name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := e.Stop(shutdownCtx); err != nil {
		log.Error(err, "shutdown did not complete within the grace period")
		os.Exit(1)
	}
	log.Info("stopped")
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
