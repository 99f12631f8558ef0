// Package opctl is the operators' command line.
package opctl

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"damaskreach/internal/conf"
	"damaskreach/internal/table"
)

// Exit codes.
const (
	ExitOK    = 0
	ExitFault = 1 // something was not done; the output says what
	ExitUsage = 2 // the command line is wrong
	ExitLag   = 3 // all was written, but it is not known to be in force on every node
)

const name = "damaskctl"

// Tool runs commands. Its fields are seams for tests.
type Tool struct {
	In   io.Reader
	Out  io.Writer
	Err  io.Writer
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Table returns the table service at addresses.
	Table func(addrs []string) table.Table
	// Edit returns a new edit id, unique for all time.
	Edit func() string

	options options
}

type options struct {
	Tables  []string      `long:"table" value-name:"ADDR" description:"IP and port of the table service; may be given several times"`
	Config  string        `long:"config" value-name:"FILE" description:"settings file of a node, read for the table's addresses and the site"`
	Node    string        `long:"node" value-name:"ADDR" description:"IP and port for operators of one node, to ask in place of the table for the others"`
	By      string        `long:"by" value-name:"NAME" env:"USER" description:"who edits; others see it when edits race"`
	KeyFile string        `long:"key-file" value-name:"FILE" description:"file with your operator's key for the nodes' operator port"`
	Wait    time.Duration `long:"wait" value-name:"TIME" default:"15s" description:"how long to wait until a change is in force on every node"`
	Within  time.Duration `long:"within" value-name:"TIME" default:"2m" description:"how long to try reading and writing the table"`
	Version bool          `long:"version" description:"print the version and exit"`
}

// command is one command: run does it after its arguments are parsed.
type command interface {
	run(ctx context.Context, t *Tool) error
}

// NewTool returns the tool as operators use it.
func NewTool(out, errOut io.Writer) *Tool {
	t := &Tool{In: os.Stdin, Out: out, Err: errOut, Edit: rand.Text}
	t.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", addr)
	}
	t.Table = func(addrs []string) table.Table { return table.NewTable(addrs, t.Dial) }
	return t
}

// coded is an error that was reported already and only carries an exit code.
type coded int

// Error says which exit code it is.
func (c coded) Error() string {
	return fmt.Sprintf("exit code %d", int(c))
}

// Run runs the command that args name and returns the exit code.
func (t *Tool) Run(ctx context.Context, args []string) int {
	t.options = options{}
	parser, commands := t.parser()
	_, err := parser.ParseArgs(args)
	var usage *flags.Error
	switch {
	case t.options.Version:
		fmt.Fprintln(t.Out, name, version)
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(t.Out, err)
		return ExitOK
	case err != nil:
		fmt.Fprintln(t.Err, name+":", err)
		return ExitUsage
	}
	return t.code(commands[parser.Active.Name].run(ctx, t))
}

func (t *Tool) code(err error) int {
	var known coded
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &known):
		return int(known)
	default:
		fmt.Fprintln(t.Err, name+":", err)
		return ExitFault
	}
}

func (t *Tool) say(format string, args ...any) {
	fmt.Fprintf(t.Out, format+"\n", args...)
}

func (t *Tool) warn(format string, args ...any) {
	fmt.Fprintf(t.Err, format+"\n", args...)
}

// connect returns the table that the options name and the site, which may be empty.
func (t *Tool) connect() (table.Table, string, error) {
	if len(t.options.Tables) > 0 {
		return t.Table(t.options.Tables), "", nil
	}
	if t.options.Config == "" {
		return table.Table{}, "", merry.New("give --table ADDR or --config FILE")
	}
	c, err := conf.Load(t.options.Config)
	if err != nil {
		return table.Table{}, "", err
	}
	return t.Table(c.Tables), c.Site, nil
}

// token returns the operator's key.
func (t *Tool) token() (string, error) {
	if t.options.KeyFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(t.options.KeyFile)
	if err != nil {
		return "", merry.Prepend(err, "reading the operator's key")
	}
	return trimLine(string(data)), nil
}
