package opctl

import (
	"context"
	"os"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/losses"
)

const lossesText = `losses reads the lines that entry hosts wrote and shows which requests were not served in time, at which moments and why: by route and by two seconds, what adapters were loaded for and what loads waited for, and which attempts to have one loaded failed. Lines of several hosts may come in one file or many. Without a file, standard input is read. It needs no table.`

// files is the argument of commands that read lines.
type files struct {
	Paths []string `positional-arg-name:"LOG" description:"file with lines of hosts; standard input where none is given"`
}

type lossesCommand struct {
	Args files `positional-args:"yes"`
}

func (c *lossesCommand) run(_ context.Context, t *Tool) error {
	sums := losses.NewLosses()
	if len(c.Args.Paths) == 0 {
		if err := sums.Read(t.In); err != nil {
			return err
		}
	}
	for _, path := range c.Args.Paths {
		if err := readLines(sums, path); err != nil {
			return err
		}
	}
	return sums.Write(t.Out)
}

// readLines adds the lines of one file.
func readLines(sums *losses.Losses, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return merry.Prepend(err, "opening lines of hosts")
	}
	defer f.Close()
	return merry.Prependf(sums.Read(f), "reading %s", path)
}
