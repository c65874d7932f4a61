// Command papayaspoked is the daemon that runs on every entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/integrii/flaggy"
	"papayaspoke/core/result"
	"papayaspoke/io/daemon"
	"papayaspoke/io/logs"
	"papayaspoke/io/settings"
	"papayaspoke/io/terminal/cmdline"
	"papayaspoke/platform"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	path := platform.SettingsPath("papayaspoked.toml")
	p := flaggy.NewParser("papayaspoked")
	p.Description = "Daemon of papayaspoke."
	p.AdditionalHelpAppend = "\nExample: papayaspoked run --settings /etc/papayaspoke/papayaspoked.toml"
	serve := flaggy.NewSubcommand("run")
	serve.Description = "Run the daemon until SIGTERM"
	serve.AdditionalHelpAppend = "\nExample: papayaspoked run --settings /etc/papayaspoke/papayaspoked.toml"
	serve.String(&path, "s", "settings", "Settings file")
	validate := flaggy.NewSubcommand("validate")
	validate.Description = "Check a settings file and exit"
	validate.AdditionalHelpAppend = "\nExample: papayaspoked validate --settings /etc/papayaspoke/papayaspoked.toml"
	validate.String(&path, "s", "settings", "Settings file")
	p.AttachSubcommand(serve, 1)
	p.AttachSubcommand(validate, 1)
	if err := cmdline.Parse(p, args); errors.Is(err, cmdline.ErrHelp) {
		return 0
	} else if err != nil {
		return fail(err)
	}
	if !serve.Used && !validate.Used {
		p.ShowHelp()
		return fail(result.New(result.Malformed, "name a command"))
	}
	s, err := settings.Read(path)
	if err != nil {
		return fail(err)
	}
	if validate.Used {
		fmt.Println("settings are valid:", path)
		return 0
	}
	return start(path, s)
}

// memoryShare is the part of the VM's memory at which garbage is collected more
// often; the rest is for what the runtime does not count.
const memoryShare = 0.6

// logTimeout bounds how long a stopping daemon waits for the reader of its log.
const logTimeout = 200 * time.Millisecond

// stopTimeout bounds a graceful shutdown; it is longer than any request may
// take.
const stopTimeout = 10 * time.Minute

func start(path string, s settings.Settings) int {
	buffered := logs.NewBuffered(os.Stdout, s.LogLevel())
	defer buffered.Close(logTimeout)
	log := buffered.Logger().WithValues("daemon", s.Name())
	stdlog.SetFlags(0)
	stdlog.SetOutput(logs.NewLineWriter(log))
	log.Info("starting", "centre", s.DataCentre(), "folder", s.DataFolder(), "platform", s.Platform().Enabled())
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if m := s.Platform().MemoryLimitMiB(); m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * memoryShare))
	}
	d, err := daemon.New(s, log, platform.Dialect())
	if err != nil {
		return fail(err)
	}
	if p := d.Platform(); p != nil {
		if err := platform.Serve(p); err != nil {
			return fail(err)
		}
	}
	go reload(stop, path, d, log)
	select {
	case <-stop.Done():
	case <-d.Done():
		return fail(result.New(result.Internal, "the daemon ended by itself, see the log"))
	}
	if p := d.Platform(); p != nil {
		log.Info("stopping")
		ctx, end := context.WithTimeout(context.Background(), s.Platform().StopGrace()*7/8)
		defer end()
		p.Drain(ctx)
		log.Info("stopped")
		return 0
	}
	ctx, end := context.WithTimeout(context.Background(), stopTimeout)
	defer end()
	if err := d.Shutdown(ctx); err != nil {
		return fail(err)
	}
	return 0
}

// reloadInterval is how often the settings file is looked at for changes that
// no signal tells of.
const reloadInterval = 2 * time.Second

// reload takes up changes of the settings file, at SIGHUP and now and then.
func reload(ctx context.Context, path string, d *daemon.Daemon, log logr.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-tick.C:
		}
		s, err := settings.Read(path)
		if err != nil {
			log.Error(err, "settings not reloaded", "path", path)
			continue
		}
		d.Reload(s, asked)
	}
}

func fail(err error) int {
	code := result.CodeOf(err)
	fmt.Fprintln(os.Stderr, err)
	fmt.Fprintln(os.Stderr, "What to do:", result.Lookup(code).Advice)
	return result.Exit(code)
}
