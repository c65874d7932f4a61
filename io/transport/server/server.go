package server

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"papayaspoke/core/result"
	"papayaspoke/io/transport/memory"
)

const (
	// DefaultMaxBody is the largest request body in bytes.
	DefaultMaxBody = 4 << 20
	// maxUnsentBytes is how many bytes may be buffered for a slow reader before
	// its connection is closed.
	maxUnsentBytes = 32 << 20
	// maxPipelined is the maximum number of requests queued on one connection.
	maxPipelined = 32
	// defaultIdleTimeout is how long an idle connection stays open.
	defaultIdleTimeout = 2 * time.Minute
	// defaultReceiveTimeout is how long a request may take to arrive completely.
	defaultReceiveTimeout = 30 * time.Second
	// lingerTimeout is how long the input of a refused connection is drained so
	// that its peer can read the refusal.
	lingerTimeout = time.Second
	// memoryRetryAfter is when a client may send a request again for which there was no
	// memory.
	memoryRetryAfter = 500 * time.Millisecond
	// maxDiscarded is how many bytes of the input of a refused connection are
	// drained at most.
	maxDiscarded = 8 << 20
	// startupTime is an upper bound on the time until the goroutines of a new
	// engine run.
	startupTime = 200 * time.Millisecond
	// engineStopTimeout is how long a stop waits for these goroutines to end.
	engineStopTimeout = 2 * time.Second
	// transitGrace is how long a request may be in transit on a connection that
	// looks idle, or new and unused, to the server. A graceful shutdown waits
	// that long before it stops accepting.
	transitGrace = 200 * time.Millisecond
	// acceptRetryPause is the pause after a connection could not be accepted for lack of
	// descriptors or memory of the kernel.
	acceptRetryPause = 50 * time.Millisecond
	// acceptPause is how long no connection must have been waiting before a listener
	// closes, and maxAcceptTime the longest time that this is awaited.
	acceptPause   = 2 * time.Millisecond
	maxAcceptTime = 200 * time.Millisecond
	// drainPollInterval is the interval at which a graceful shutdown checks
	// whether requests are still in flight.
	drainPollInterval = 5 * time.Millisecond
)

// ErrConnClosed is the cancellation cause of a request's context if the other end
// closed the connection.
var ErrConnClosed = errors.New("connection closed by the other end")

// Options are the settings of a server. The zero value is usable.
type Options struct {
	// MaxBody is the largest request body in bytes if Limits does not tell; zero means
	// [DefaultMaxBody].
	MaxBody int
	// Limits returns the limits that hold now. If nil, the defaults hold.
	Limits func() Limits
	// Connections limits open connections. If nil, their number is not limited.
	Connections *ConnLimit
	// Memory limits what requests hold until their handlers return. If nil, the server
	// has a budget of [memory.DefaultLimit] of its own.
	Memory *memory.Budget
	// DecodedSize returns what the handler holds besides a body while it handles it. If
	// nil, that is nothing.
	DecodedSize func(body []byte) int
	// Answers limits what is written and not yet accepted by the kernel. Without room
	// the connection with most of it is closed. If nil, the server has a budget of
	// [memory.DefaultLimit] of its own.
	Answers *memory.Budget
	// Log receives panics of handlers and refused requests.
	Log logr.Logger
	// Refuse writes the response for an error that is found before a handler
	// runs. If nil, the error is written as plain text.
	Refuse func(w http.ResponseWriter, err *result.Error)
	// IdleDeadline returns when a connection that is idle at now is closed. If
	// nil, it is two minutes after now. A time in Limits goes first.
	IdleDeadline func(now time.Time) time.Time
	// ReceiveDeadline returns when a request whose first byte arrived at now must
	// have arrived completely. If nil, it is 30 seconds after now.
	ReceiveDeadline func(now time.Time) time.Time
}

// Server is an HTTP server that listens on one address.
type Server struct {
	engine   *nbhttp.Engine
	listener *listener
	handler  http.Handler
	opts     Options
	conns    sync.Map // *nbio.Conn to *conn
	inFlight atomic.Int64
	draining atomic.Bool
	stopOnce sync.Once
	// startedUpAt is the time by which the goroutines of the engine run.
	startedUpAt time.Time
}

// Listen starts to serve h on addr, which is an IP address and a port.
func Listen(addr string, h http.Handler, opts Options) (*Server, error) {
	s := &Server{handler: h, opts: opts.withDefaults()}
	// Start of the engine never returns if it fails to listen, so the listener
	// is created first.
	if err := s.bind(addr); err != nil {
		return nil, result.New(result.SettingsInvalid, "listen on %s: %w", addr, err)
	}
	logging.SetLogger(discardLogger{})
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:               addr,
		Network:            "tcp",
		Addrs:              []string{addr},
		MaxWriteBufferSize: maxUnsentBytes,
		KeepaliveTime:      defaultIdleTimeout,
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     func(f func()) { go f() },
		SupportServerOnly:  true,
		Listen:             func(string, string) (net.Listener, error) { return s.listener, nil },
	})
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnData(s.onData)
	s.engine.OnWrittenSize(s.onWritten)
	if err := s.engine.Start(); err != nil {
		return nil, result.New(result.SettingsInvalid, "listen on %s: %w", addr, err)
	}
	s.startedUpAt = time.Now().Add(startupTime)
	return s, nil
}

func (o Options) withDefaults() Options {
	if o.MaxBody <= 0 {
		o.MaxBody = DefaultMaxBody
	}
	if o.Memory == nil {
		o.Memory = memory.NewReservedBudget(memory.DefaultLimit)
	}
	if o.Answers == nil {
		o.Answers = memory.NewBudget(memory.DefaultLimit)
	}
	if o.Connections == nil {
		o.Connections = NewConnLimit(math.MaxInt)
	}
	if o.Log.GetSink() == nil {
		o.Log = logr.Discard()
	}
	if o.Refuse == nil {
		o.Refuse = refuseAsText
	}
	if o.IdleDeadline == nil {
		o.IdleDeadline = func(now time.Time) time.Time { return now.Add(defaultIdleTimeout) }
	}
	if o.ReceiveDeadline == nil {
		o.ReceiveDeadline = func(now time.Time) time.Time { return now.Add(defaultReceiveTimeout) }
	}
	return o
}

func refuseAsText(w http.ResponseWriter, err *result.Error) {
	http.Error(w, err.Error(), result.Lookup(err.Code()).HTTP)
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// InFlight returns the number of requests whose handler has not returned.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	n := 0
	s.conns.Range(func(_, _ any) bool { n++; return true })
	return n
}

// AnnounceClose makes the server ask peers with each response to close the
// connection, and goes on serving. Called well before [Server.Shutdown], it leaves
// only connections to close that nobody has used for that long.
func (s *Server) AnnounceClose() { s.draining.Store(true) }

// Shutdown stops the server gracefully. For a short time it continues to accept
// requests, so that those in transit are answered, with "Connection: close". It
// then stops accepting connections, waits until every request in flight has been
// answered and the response passed to the kernel, and closes the connections. If
// ctx ends first, Shutdown closes the remaining connections and returns the
// context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(transitGrace):
	}
	s.listener.drain()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.busy() {
		select {
		case <-ctx.Done():
			s.Close()
			return fmt.Errorf("shutdown interrupted with %d requests in flight: %w", s.InFlight(), ctx.Err())
		case <-tick.C:
		}
	}
	s.Close()
	return nil
}

// Close stops the server immediately and closes all connections, also those with
// requests in flight.
func (s *Server) Close() {
	s.stopOnce.Do(func() {
		s.draining.Store(true)
		s.listener.stopAccepting()
		s.conns.Range(func(k, _ any) bool {
			_ = k.(*nbio.Conn).Close()
			return true
		})
		s.stopEngine()
	})
}

// stopEngine stops the nbhttp engine. The engine's goroutines reset the stop flag
// when they begin, so a stop right after the start could be lost and its wait
// never end. The stop is therefore delayed until the goroutines run, and the wait
// is bounded.
func (s *Server) stopEngine() {
	time.Sleep(time.Until(s.startedUpAt))
	ended := make(chan struct{})
	go func() {
		s.engine.Stop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(engineStopTimeout):
		s.opts.Log.Info("engine goroutines did not stop in time", "address", s.Addr())
	}
}

// busy reports whether a request is in flight or arriving, or a response has not
// been passed to the kernel completely.
func (s *Server) busy() bool {
	if s.inFlight.Load() > 0 {
		return true
	}
	busy := false
	s.conns.Range(func(_, v any) bool {
		busy = v.(*conn).busy()
		return !busy
	})
	return busy
}

// discardLogger discards the library's log lines, which are not JSON.
type discardLogger struct{}

func (discardLogger) Debug(string, ...any) {}
func (discardLogger) Info(string, ...any)  {}
func (discardLogger) Warn(string, ...any)  {}
func (discardLogger) Error(string, ...any) {}

// listener can stop accepting connections without ending the library's accept
// loop, which would spin on a closed listener until the engine stops: after
// stopAccepting or drain, Accept blocks until Close.
type listener struct {
	net.Listener
	// conns limits the connections; nil if their number is not limited.
	conns   *ConnLimit
	log     logr.Logger
	once    sync.Once
	stopped chan struct{}
	// drainBy is when drain gives up waiting for a pause between connections, in Unix
	// nanoseconds; 0 while the listener isn't draining.
	drainBy atomic.Int64
	// drained is closed once the listener is closed after drain.
	drained   chan struct{}
	drainOnce sync.Once
}

func (s *Server) bind(addr string) error {
	conf := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAliveProbes}
	l, err := conf.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	s.listener = newListener(l)
	s.listener.conns = s.opts.Connections
	s.listener.log = s.opts.Log
	return nil
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, stopped: make(chan struct{}), drained: make(chan struct{})}
}

// Accept returns the next connection that may be opened.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		switch {
		case err == nil && (l.conns == nil || l.conns.admit()):
			return c, nil
		case err == nil:
			_ = c.Close()
		case isShortage(err):
			l.log.Error(err, "no connection can be accepted", "address", l.Addr().String())
			l.pause()
		default:
			return nil, err
		}
	}
}

// isShortage reports whether an error of Accept ends once resources are returned.
func isShortage(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// pause waits for acceptRetryPause or until the listener is closed.
func (l *listener) pause() {
	select {
	case <-l.stopped:
	case <-time.After(acceptRetryPause):
	}
}

// accept returns the next connection. After stopAccepting or drain it blocks until
// Close.
func (l *listener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().UnixNano() < l.drainBy.Load() {
		// The deadline may have passed before the kernel was asked.
		_ = l.setDeadline(time.Now().Add(acceptPause))
		c, err = l.Listener.Accept()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		_ = l.Listener.Close()
		l.drainOnce.Do(func() { close(l.drained) })
		<-l.stopped
	case errors.Is(err, net.ErrClosed):
		<-l.stopped
	}
	return c, err
}

func (l *listener) setDeadline(at time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(at time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return d.SetDeadline(at)
}

// drain accepts the connections that the kernel has established, whose peers may
// have sent requests already, and then closes the listener. Closing it at once
// would reset them.
func (l *listener) drain() {
	now := time.Now()
	l.drainBy.Store(now.Add(maxAcceptTime).UnixNano())
	if l.setDeadline(now.Add(acceptPause)) != nil {
		l.stopAccepting()
		return
	}
	select {
	case <-l.drained:
	case <-l.stopped:
	case <-time.After(2 * maxAcceptTime):
		l.stopAccepting()
	}
}

func (l *listener) stopAccepting() { _ = l.Listener.Close() }

// Close stops accepting and unblocks Accept, which ends the accept loop.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.Listener.Close()
}
