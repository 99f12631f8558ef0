// Package launch is the command line of a node.
package launch

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/conf"
	"damaskreach/internal/ends"
	"damaskreach/internal/node"
	"damaskreach/internal/shell"
)

// Version of the program, shown by --version.
const Version = "0.1.0"

// Run runs the node with command-line arguments args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	return shell.Shell{
		Name: "damaskreach", Version: Version,
		About: "damaskreach serves requests for very many LoRA adapters from a fleet of model engines.\n" +
			"It runs one node. 'damaskreach check FILE' checks a settings file and names the line and key of every fault.",
		File:  "TOML file with the node's settings",
		Check: check,
		Serve: func(path string) int { return run(path, errOut) },
		Out:   out,
		Err:   errOut,
	}.Run(args)
}

func check(path string) error {
	_, err := conf.Load(path)
	return err
}

func run(path string, errOut io.Writer) int {
	c, err := conf.Load(path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return shell.Usage
	}
	if c.Node == "" {
		c.Node = "node-" + rand.Text()[:8]
	}
	log, err := newLog(c)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return shell.Usage
	}
	if err := serve(path, c, log); err != nil {
		log.Error("the node ended with a fault", zap.Error(err))
		return shell.Fault
	}
	return shell.OK
}

func newLog(c conf.Conf) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(c.LogLevel)
	if err != nil {
		return nil, merry.Prepend(err, "reading the log level")
	}
	settings := zap.NewProductionConfig()
	settings.Level = level
	settings.Sampling = nil
	log, err := settings.Build()
	if err != nil {
		return nil, merry.Prepend(err, "opening the log")
	}
	return log.With(zap.String("node", c.Node)), nil
}

// serve runs the node. The first signal drains it, a second one stops it at once.
func serve(path string, c conf.Conf, log *zap.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dialer := &net.Dialer{LocalAddr: local(c)}
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return ends.Dial(ctx, dialer, addr) }
	listen := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	n := node.NewNode(c, dial, listen, log)
	go rekey(ctx, path, n)
	go func() {
		<-signals
		n.Drain()
		<-signals
		cancel()
	}()
	return n.Run(ctx)
}

// local makes a node dial from the address that it listens at, so that a host with several addresses is known to others
// by one, and firewalls, logs and tests can tell which node dials. Without one address of its own it leaves the choice
// to the system.
func local(c conf.Conf) net.Addr {
	addr, err := netip.ParseAddrPort(c.ListenAddr())
	if err != nil || addr.Addr().IsUnspecified() {
		return nil
	}
	return &net.TCPAddr{IP: addr.Addr().AsSlice()}
}
