// Package shell is the command line that the programs which run from a settings file share.
package shell

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	OK    = 0
	Fault = 1 // the program could not run
	Usage = 2 // the command line or the settings are wrong
)

type options struct {
	Config  string `short:"c" long:"config" value-name:"FILE"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Shell is the command line of one program.
type Shell struct {
	Name    string
	Version string
	About   string // what the program does, for --help
	File    string // what the settings file holds, for --help
	// Path returns the settings file where the command line names none; nil means that it must name one.
	Path func() string
	// Check returns the faults of a settings file, each with its key.
	Check func(path string) error
	// Serve runs the program from a settings file and returns its exit code.
	Serve func(path string) int
	Out   io.Writer
	Err   io.Writer
}

// Run runs the program with command-line arguments and returns the exit code.
func (s Shell) Run(args []string) int {
	var o options
	parser := flags.NewNamedParser(s.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = s.About
	parser.Usage = "[OPTIONS] [check FILE]"
	group, err := parser.AddGroup("Options", "", &o)
	if err != nil {
		panic(err) // the options above are a constant of the program
	}
	group.FindOptionByLongName("config").Description = s.File
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(s.Out, err)
		return OK
	case err != nil:
		fmt.Fprintln(s.Err, err)
		return Usage
	case o.Version:
		fmt.Fprintln(s.Out, s.Name, s.Version)
		return OK
	case len(rest) == 2 && rest[0] == "check":
		return s.check(rest[1])
	case len(rest) > 0 || o.Config == "" && s.Path == nil:
		fmt.Fprintln(s.Err, s.Name+": give --config FILE or check FILE; see --help")
		return Usage
	case o.Config == "":
		o.Config = s.Path()
	}
	return s.Serve(o.Config)
}

func (s Shell) check(path string) int {
	if err := s.Check(path); err != nil {
		fmt.Fprintln(s.Err, err)
		return Usage
	}
	fmt.Fprintln(s.Out, path+": no fault found")
	return OK
}
