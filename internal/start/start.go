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
	"damaskreach/internal/turns"
)

// Version of the program, shown by --version.
const Version = "0.2.0"

const (
	// reloadEvery is how often the settings file is compared: it may change without a signal.
	reloadEvery = 2 * time.Second
	// memoryShare is the part of the allowed memory at which the collector works harder.
	memoryShare = 0.6
	// flushFor is how long the last lines may take to be written: a queue of them takes some milliseconds where they are read.
	flushFor = 300 * time.Millisecond
)

// Start is the way from the command line to a running host.
type Start struct {
	// Path returns the settings file where the command line names none.
	Path func() string
	// Build returns a host whose parts speak the platform's protocols.
	Build func(s setup.Setup) *edge.Edge
	Out   io.Writer // for the log
	Err   io.Writer
}

// Run runs the host with command-line arguments and returns the exit code.
func (s Start) Run(args []string) int {
	return shell.Shell{
		Name: "damaskedge", Version: Version,
		About: "damaskedge runs one entry host on the users' platform.\n" +
			"'damaskedge check FILE' checks a settings file and names the key of every fault.",
		File:  "TOML file with the host's settings; in place of the one that the environment names",
		Path:  s.Path,
		Check: check,
		Serve: s.run,
		Out:   s.Out,
		Err:   s.Err,
	}.Run(args)
}

func check(path string) error {
	_, err := setup.Load(path)
	return err
}

func (s Start) run(path string) int {
	hangups := make(chan os.Signal, 1)
	// From before the settings are read until the process ends: what the system does with a hangup that nobody takes is to end it, with all
	// requests under way.
	signal.Notify(hangups, syscall.SIGHUP)
	// A line that nobody reads any more would end the process too.
	signal.Ignore(syscall.SIGPIPE)
	first, err := setup.Load(path)
	if err != nil {
		fmt.Fprintln(s.Err, err)
		return shell.Usage
	}
	debug.SetMemoryLimit(int64(float64(first.Memory<<20) * memoryShare))
	log := logger.NewLogger(s.Out, level(first.Level))
	ctx, stop := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		log.Run(ctx)
	}()
	err = s.serve(path, first, hangups, log)
	if err != nil {
		log.Zap().Error("the host ended with a fault", zap.Error(err))
	}
	stop()
	select {
	case <-written:
	case <-time.After(flushFor):
		// Whoever reads the output has stopped. Waiting for it would keep the process from ending in time, and the platform from
		// starting the next one.
	}
	if err != nil {
		return shell.Fault
	}
	return shell.OK
}

// level returns the level of a text that was checked.
func level(text string) zapcore.Level {
	l, err := zapcore.ParseLevel(text)
	if err != nil {
		return zapcore.InfoLevel
	}
	return l
}

// serve runs the host until it is told to stop.
func (s Start) serve(path string, first setup.Setup, hangups <-chan os.Signal, log *logger.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var current atomic.Pointer[setup.Setup]
	current.Store(&first)
	lines := log.Zap().With(zap.String("node", first.Name))
	go reload(ctx, hangups, path, &current, log, lines)
	e := s.Build(first)
	e.Setup = func() setup.Setup { return *current.Load() }
	e.Log, e.RequestLog = lines, lines.Named(logger.Requests)
	e.Stats = stats.NewStats()
	e.Stats.Gauge(stats.Dropped, func() float64 { return float64(log.Dropped()) })
	return e.Run(ctx)
}

// reload reads the settings anew at each SIGHUP and every reloadEvery. With a fault in the file the earlier ones stay: a host
// with half of its settings would serve wrongly, and one that stopped would not serve at all.
func reload(
	ctx context.Context, hangups <-chan os.Signal, path string, current *atomic.Pointer[setup.Setup], log *logger.Logger, lines *zap.Logger,
) {
	wake := make(chan struct{}, 1)
	go forward(ctx, hangups, wake)
	faulty := ""
	for range turns.Now(ctx, reloadEvery, wake) {
		next, err := setup.Load(path)
		if err != nil {
			if err.Error() != faulty {
				faulty = err.Error()
				lines.Error("settings refused; the earlier ones stay", zap.Error(err))
			}
			continue
		}
		faulty = ""
		if *current.Load() != next {
			current.Store(&next)
			log.SetLevel(level(next.Level))
			lines.Info("settings reloaded", zap.String("file", path))
		}
	}
}

// forward turns signals into wakes.
func forward(ctx context.Context, signals <-chan os.Signal, wake chan<- struct{}) {
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
