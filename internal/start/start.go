// Package start is the command line of an entry host: it reads the settings, opens the log and runs the host.
package start

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"damaskreach/internal/edge"
	"damaskreach/internal/logger"
	"damaskreach/internal/setup"
	"damaskreach/internal/shell"
	"damaskreach/internal/stats"
	"damaskreach/internal/ticker"
)

// Version is the program's version, shown by --version.
const Version = "0.2.0"

const (
	// reloadInterval is how often the settings file is checked for changes, which may come without a signal.
	reloadInterval = 2 * time.Second
	// memoryLimitShare is the part of the allowed memory that is set as Go's soft memory limit.
	memoryLimitShare = 0.6
	// flushTimeout bounds the writing of the last log lines: a full queue takes some milliseconds if the output is read.
	flushTimeout = 300 * time.Millisecond
)

// Start runs a host from the command line.
type Start struct {
	// DefaultPath returns the settings file where the command line names none.
	DefaultPath func() string
	// NewEdge returns a host with adapters for the platform's protocols.
	NewEdge func(s setup.Setup) *edge.Edge
	Out     io.Writer // for the log
	Err     io.Writer
}

// Run runs the host with command-line arguments and returns the exit code.
func (s Start) Run(args []string) int {
	return shell.Shell{
		Name: "damaskedge", Version: Version,
		About: "damaskedge runs one entry host on the users' platform.\n" +
			"'damaskedge check FILE' checks a settings file and names the key of every fault.",
		File:  "TOML file with the host's settings; in place of the one that the environment names",
		Path:  s.DefaultPath,
		Check: checkSettings,
		Serve: s.run,
		Out:   s.Out,
		Err:   s.Err,
	}.Run(args)
}

func checkSettings(path string) error {
	_, err := setup.Load(path)
	return err
}

func (s Start) run(path string) int {
	hangups := make(chan os.Signal, 1)
	// Notify before the settings are read and until the process ends: an unhandled SIGHUP would kill it, with all requests in flight.
	signal.Notify(hangups, syscall.SIGHUP)
	// Likewise, a write to a closed log pipe would kill the process.
	signal.Ignore(syscall.SIGPIPE)
	first, err := setup.Load(path)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return shell.Usage
	}
	debug.SetMemoryLimit(int64(float64(first.Memory<<20) * memoryLimitShare))
	log := logger.NewLogger(s.Out, parseLevel(first.Level))
	ctx, stop := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		log.Run(ctx)
	}()
	err = s.serve(path, first, hangups, log)
	if err != nil {
		log.Zap().Error("host failed", zap.Error(err))
	}
	stop()
	select {
	case <-written:
	case <-time.After(flushTimeout):
		// The reader of the output has stopped. Waiting for it would delay the exit, and so the platform's start of the next process.
	}
	if err != nil {
		return shell.Fault
	}
	return shell.OK
}

// parseLevel returns the log level of a text, which was checked when the settings were loaded.
func parseLevel(text string) zapcore.Level {
	l, err := zapcore.ParseLevel(text)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}

// serve runs the host until SIGTERM or SIGINT.
func (s Start) serve(path string, first setup.Setup, hangups <-chan os.Signal, log *logger.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var current atomic.Pointer[setup.Setup]
	current.Store(&first)
	lines := log.Zap().With(zap.String("node", first.Name))
	go reloadSettings(ctx, hangups, path, &current, log, lines)
	e := s.NewEdge(first)
	e.Setup = func() setup.Setup { return *current.Load() }
	e.Log, e.RequestLog = lines, lines.Named(logger.Requests)
	e.Stats = stats.NewStats()
	e.Stats.Gauge(stats.Dropped, func() float64 { return float64(log.Dropped()) })
	return e.Run(ctx)
}

// reloadSettings reads the settings at each SIGHUP and every reloadInterval. A faulty file leaves the current settings in force: a host
// with part of its settings would serve wrongly, and one that stopped would not serve at all.
func reloadSettings(
	ctx context.Context, hangups <-chan os.Signal, path string, current *atomic.Pointer[setup.Setup], log *logger.Logger, lines *zap.Logger,
) {
	wake := make(chan struct{}, 1)
	go forwardSignals(ctx, hangups, wake)
	faulty := ""
	for range ticker.Repeat(ctx, reloadInterval, wake) {
		next, err := setup.Load(path)
		if err != nil {
			if err.Error() != faulty {
				faulty = err.Error()
				lines.Error("settings not reloaded; keeping the current ones", zap.Error(err))
			}
			continue
		}
		faulty = ""
		if *current.Load() != next {
			current.Store(&next)
			log.SetLevel(parseLevel(next.Level))
			lines.Info("settings reloaded", zap.String("file", path))
		}
	}
}

// forwardSignals wakes the receiver for each signal.
func forwardSignals(ctx context.Context, signals <-chan os.Signal, wake chan<- struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}
