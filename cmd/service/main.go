// Command service is a stand-in for a plain service.
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

// crashed is the exit status after a body that crashes the service.
const crashed = 3

func main() {
	listen, daemons := "127.0.0.1:0", ""
	name, kind, centre := "booking-1", "booking", "local"
	delay, grace := time.Duration(0), 30*time.Second
	crash, idempotent := "", ""

	flaggy.SetName("service")
	flaggy.SetDescription("stand-in for a plain service. Example: service --listen 127.0.0.1:9101 --service booking --daemons 127.0.0.1:7001")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.String(&listen, "", "listen", "address to listen on")
	flaggy.String(&daemons, "", "daemons", "addresses of daemons, separated by commas")
	flaggy.String(&name, "", "name", "name of the replica")
	flaggy.String(&kind, "", "service", "name of the service")
	flaggy.String(&centre, "", "dc", "data centre")
	flaggy.Duration(&delay, "", "delay", "time before each answer")
	flaggy.Duration(&grace, "", "grace", "time to finish after SIGTERM")
	flaggy.String(&crash, "", "crash", "word in a body that crashes the service after the run")
	flaggy.String(&idempotent, "", "idempotent", "path prefixes that may be called again, separated by commas")
	flaggy.Parse()

	log := logs.New(os.Stdout, 0)
	opts := service.Options{
		Daemons: split(daemons), CrashWord: crash, Crash: func() { os.Exit(crashed) }, Log: log,
		AnsweredAt: func(now time.Time) time.Time { return now.Add(delay) },
	}
	opts.Self.Name, opts.Self.Service = ident.Upstream(name), ident.Service(kind)
	opts.Self.DataCentre, opts.Self.IdempotentPaths = ident.DataCentre(centre), split(idempotent)
	s, err := service.Start(listen, opts)
	if err != nil {
		log.Error(err, "cannot start")
		os.Exit(1)
	}
	log.Info("listening", "address", s.Addr(), "name", name)

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	end, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := s.Stop(end); err != nil {
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
