// Package serve runs stand-ins of the platform's services and of upstreams in one process.
package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"
)

// Exit codes.
const (
	exitClean  = 0
	exitFailed = 1
	exitUsage  = 2
)

const (
	headerTimeout = 10 * time.Second // for the headers of a request
	stopTimeout   = 2 * time.Second  // for the calls in progress when the process stops
)

// listen opens a listener at an IP and port.
type listen = func(addr string) (net.Listener, error)

// Listen opens a TCP listener.
func Listen(addr string) (net.Listener, error) {
	return net.Listen("tcp", addr)
}

// Run serves what the arguments name until ctx ends, and returns the exit code of the process.
// Logs go to logs, one JSON object a line; the message "ready" says that everything listens.
func Run(ctx context.Context, args []string, listen func(addr string) (net.Listener, error), out, logs io.Writer) int {
	var o options
	parser := flags.NewNamedParser("damaskstand", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Stand-ins", "", &o); err != nil {
		return usage(logs, err)
	}
	rest, err := parser.ParseArgs(args)
	var asked *flags.Error
	if errors.As(err, &asked) && asked.Type == flags.ErrHelp {
		fmt.Fprintln(out, asked.Message)
		return exitClean
	}
	if err == nil && len(rest) > 0 {
		err = merry.Errorf("unknown argument %q", rest[0])
	}
	if err != nil {
		return usage(logs, err)
	}
	s, err := newSite(o)
	if err != nil {
		return usage(logs, err)
	}
	return s.run(ctx, listen, newLogger(logs))
}

func usage(logs io.Writer, err error) int {
	fmt.Fprintf(logs, "damaskstand: %v\n", err)
	return exitUsage
}

func newLogger(logs io.Writer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	sink := zapcore.Lock(zapcore.AddSync(logs))
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), sink, zap.InfoLevel))
}

// run opens all listeners before it serves any, so that "ready" holds for the whole site.
func (s *site) run(ctx context.Context, listen listen, log *zap.Logger) int {
	group, ctx := errgroup.WithContext(ctx)
	listeners, err := s.open(listen)
	if err != nil {
		log.Error("not started", zap.String("error", err.Error()))
		return exitFailed
	}
	for i, service := range s.services {
		group.Go(func() error { return service.serve(ctx, listeners[i], listen) })
		log.Info("serving", zap.String("name", service.name), zap.String("addr", listeners[i].Addr().String()))
	}
	log.Info("ready", zap.Int("services", len(s.services)))
	if err := group.Wait(); err != nil {
		log.Error("failed", zap.String("error", err.Error()))
		return exitFailed
	}
	log.Info("stopped")
	return exitClean
}

func (s *site) open(listen listen) ([]net.Listener, error) {
	var open []net.Listener
	for _, service := range s.services {
		l, err := listen(service.addr)
		if err != nil {
			for _, other := range open {
				other.Close()
			}
			return nil, merry.Prependf(err, "%s at %s", service.name, service.addr)
		}
		open = append(open, l)
	}
	return open, nil
}

// serveHTTP serves handler until ctx ends, and then lets calls in progress finish for a short while.
func serveHTTP(ctx context.Context, l net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(grace) != nil {
			server.Close()
		}
	}()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}
