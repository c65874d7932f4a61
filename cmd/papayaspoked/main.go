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
		return printError(err)
	}
	if !serve.Used && !validate.Used {
		p.ShowHelp()
		return printError(result.New(result.Malformed, "no command given, expected run or validate"))
	}
	s, err := settings.Read(path)
	if err != nil {
		return printError(err)
	}
	if validate.Used {
		fmt.Println("settings are valid:", path)
		return 0
	}
	return runDaemon(path, s)
}

// memoryLimitRatio is the fraction of the VM's memory that is set as the soft
// memory limit of the Go runtime, above which it collects garbage more often.
// The rest is left for memory that the runtime does not count.
const memoryLimitRatio = 0.6

// logFlushTimeout bounds how long a stopping daemon waits until buffered log
// lines have been written, since the reader of its output may be stalled.
const logFlushTimeout = 200 * time.Millisecond

// shutdownTimeout bounds a graceful shutdown. It is longer than the longest
// request.
const shutdownTimeout = 10 * time.Minute

// runDaemon runs the daemon until a signal stops it or it ends by itself, and
// returns the exit status.
func runDaemon(path string, s settings.Settings) int {
	buffered := logs.NewBuffered(os.Stdout, s.LogLevel())
	defer buffered.Close(logFlushTimeout)
	log := buffered.Logger().WithValues("daemon", s.Name())
	stdlog.SetFlags(0)
	stdlog.SetOutput(logs.NewLineWriter(log))
	log.Info("starting", "centre", s.DataCentre(), "folder", s.DataFolder(), "platform", s.Platform().Enabled())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if m := s.Platform().MemoryLimitMiB(); m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * memoryLimitRatio))
	}
	d, err := daemon.New(s, log, platform.Dialect())
	if err != nil {
		return printError(err)
	}
	if p := d.Platform(); p != nil {
		if err := platform.Serve(p); err != nil {
			return printError(err)
		}
	}
	go watchSettings(ctx, path, d, log)
	select {
	case <-ctx.Done():
	case <-d.Done():
		return printError(result.New(result.Internal, "the daemon ended because of an internal failure, see its log"))
	}
	if p := d.Platform(); p != nil {
		log.Info("stopping")
		drainCtx, cancelDrain := context.WithTimeout(context.Background(), s.Platform().StopGrace()*7/8)
		defer cancelDrain()
		p.Drain(drainCtx)
		log.Info("stopped")
		return 0
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	if err := d.Shutdown(shutdownCtx); err != nil {
		return printError(err)
	}
	return 0
}

// reloadInterval is how often the settings file is read again, since it may
// change without a SIGHUP.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and every reloadInterval,
// until ctx ends.
func watchSettings(ctx context.Context, path string, d *daemon.Daemon, log logr.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			requested = true
		case <-ticker.C:
		}
		s, err := settings.Read(path)
		if err != nil {
			log.Error(err, "settings not reloaded", "path", path)
			continue
		}
		d.Reload(s, requested)
	}
}

// printError prints err and what the operator can do about it, and returns the
// exit status for its result code.
func printError(err error) int {
	code := result.CodeOf(err)
	fmt.Fprintln(os.Stderr, err)
	fmt.Fprintln(os.Stderr, "What to do:", result.Lookup(code).Advice)
	return result.Exit(code)
}
