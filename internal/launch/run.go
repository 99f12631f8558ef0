// Package launch is the command line of a node.
package launch

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"damaskreach/internal/conf"
	"damaskreach/internal/node"
)

// Version of the program, shown by --version.
const Version = "0.1.0"

// Exit codes.
const (
	exitOK    = 0
	exitFault = 1 // the node could not run
	exitUsage = 2 // the command line or the settings are wrong
)

type options struct {
	Config  string `short:"c" long:"config" value-name:"FILE" description:"TOML file with the node's settings"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Run runs the node with command-line arguments args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	var o options
	parser := flags.NewNamedParser("damaskreach", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "damaskreach serves requests for very many LoRA adapters from a fleet of model engines.\n" +
		"It runs one node. 'damaskreach check FILE' checks a settings file and names the line and key of every fault."
	parser.Usage = "[OPTIONS] [check FILE]"
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		panic(err) // the options above are a constant of the program
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, err)
		return exitOK
	case err != nil:
		fmt.Fprintln(errOut, err)
		return exitUsage
	case o.Version:
		fmt.Fprintln(out, "damaskreach", Version)
		return exitOK
	case len(rest) == 2 && rest[0] == "check":
		return check(rest[1], out, errOut)
	case len(rest) > 0 || o.Config == "":
		fmt.Fprintln(errOut, "damaskreach: give --config FILE or check FILE; see --help")
		return exitUsage
	}
	return run(o.Config, errOut)
}

func check(path string, out, errOut io.Writer) int {
	if _, err := conf.Load(path); err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	fmt.Fprintln(out, path+": no fault found")
	return exitOK
}

func run(path string, errOut io.Writer) int {
	c, err := conf.Load(path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if c.Node == "" {
		c.Node = "node-" + rand.Text()[:8]
	}
	log, err := newLog(c)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	if err := serve(path, c, log); err != nil {
		log.Error("the node ended with a fault", zap.Error(err))
		return exitFault
	}
	return exitOK
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
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
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
