package opctl

import (
	"strings"

	"github.com/jessevdk/go-flags"
)

// version of the program, shown by --version.
const version = "0.1.0"

const about = `damaskctl changes the table of adapters, versions, weights and limits that damaskreach follows, shows what the
nodes do and why, and takes nodes and runners out of service.

Get the table into a folder of CSV or TOML files, edit them, look at the difference and apply it:

  damaskctl --table 10.0.0.1:5000 get site
  damaskctl check site
  damaskctl --table 10.0.0.1:5000 diff site
  damaskctl --table 10.0.0.1:5000 apply site

Look at the nodes, and ask why:

  damaskctl --table 10.0.0.1:5000 status --watch
  damaskctl --node 10.0.0.7:9000 explain --adapter order-7 --since 10m
  damaskctl losses edge-1.log edge-2.log

Exit codes: 0 done; 1 something was not done, and the output says what; 2 wrong command line;
3 all was written, but it is not known to be in force on every node.`

func (t *Tool) parser() (*flags.Parser, map[string]command) {
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	must(parser.AddGroup("Options", "", &t.options))
	commands := make(map[string]command)
	add := func(word, short, long string, c command) {
		must(parser.AddCommand(word, short, long, c))
		commands[word] = c
	}
	add("check", "Check a declaration", checkText, new(check))
	add("diff", "Show what apply would change", diffText, new(diff))
	add("apply", "Write a declaration to the table", applyText, new(apply))
	add("get", "Write the table to a declaration", getText, new(get))
	add("set-weights", "Change the version shares of an adapter", weightsText, new(weights))
	add("rollback", "Go back to an adapter's former version shares", rollbackText, new(rollback))
	add("status", "Show nodes, runners, loads and refusals", statusText, new(status))
	add("explain", "Show why something was decided", explainText, new(explain))
	add("losses", "Show which requests were not served in time, and why", lossesText, new(lossesCommand))
	add("drain", "Take a node or runner out of service", drainText, new(drain))
	add("remove", "Remove one row of the table", removeText, new(remove))
	return parser, commands
}

// must is for the parser's set-up, which is a constant of the program.
func must[T any](_ T, err error) {
	if err != nil {
		panic(err)
	}
}

func trimLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return strings.TrimSpace(line)
}
