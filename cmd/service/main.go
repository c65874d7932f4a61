// Command service runs a stand-in for a plain service, for tests and demos.
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
	"papayaspoke/io/standin/service"
)

// crashExitStatus is the exit status after a body that contains the crash word.
const crashExitStatus = 3

func main() {
	listen, daemons := "127.0.0.1:0", ""
	name, serviceName, centre := "booking-1", "booking", "local"
	delay, grace := time.Duration(0), 30*time.Second
	crashWord, idempotentPaths := "", ""

	flaggy.SetName("service")
	flaggy.SetDescription("stand-in for a plain service. Example: service --listen 127.0.0.1:9101 --service booking --daemons 127.0.0.1:7001")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&listen, "", "listen", "address to listen on")
	flaggy.String(&daemons, "", "daemons", "addresses of daemons, separated by commas")
	flaggy.String(&name, "", "name", "name of the replica")
	flaggy.String(&serviceName, "", "service", "name of the service")
	flaggy.String(&centre, "", "dc", "data centre")
	flaggy.Duration(&delay, "", "delay", "time before each answer")
	flaggy.Duration(&grace, "", "grace", "time to finish calls after SIGTERM")
	flaggy.String(&crashWord, "", "crash", "word in a body that crashes the service after it has run the call")
	flaggy.String(&idempotentPaths, "", "idempotent", "path prefixes whose calls may be retried, separated by commas")
	flaggy.Parse()

	log := logs.New(os.Stdout, 0)
	opts := service.Options{
		Daemons: splitList(daemons), CrashWord: crashWord, Crash: func() { os.Exit(crashExitStatus) }, Log: log,
		AnsweredAt: func(now time.Time) time.Time { return now.Add(delay) },
	}
	opts.Self.Name, opts.Self.Service = ident.Upstream(name), ident.Service(serviceName)
	opts.Self.DataCentre, opts.Self.IdempotentPaths = ident.DataCentre(centre), splitList(idempotentPaths)
	s, err := service.Start(listen, opts)
	if err != nil {
		log.Error(err, "cannot start the service")
		os.Exit(1)
	}
	log.Info("listening", "address", s.Addr(), "name", name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := s.Stop(shutdownCtx); err != nil {
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
