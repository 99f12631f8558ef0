// Package losses tells from hosts' lines which requests were not served in time, at which moments and why.
//
// A site that serves nine requests in ten in time says so in its metrics, but not what the tenth waited for. Each request
// leaves a line at its end and each load of an adapter one of its own; put side by side they name the cause. Lines come from
// many hosts, cut off where a host died and mixed with those of other programs: what cannot be read is counted and passed over.
package losses

import (
	"bufio"
	"errors"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// mostLine is the longest line that is read; hosts write some hundred bytes. The rest of a longer one is passed over.
	mostLine = 64 << 10
	// mostEvents bounds how many loads, unloads and late requests are kept until the end, at some 60 bytes each: an hour of a
	// site of seventy hosts. Later ones are counted as not kept.
	mostEvents = 2_000_000
	// mostNames bounds the names of upstreams, adapters and routes that are kept apart.
	mostNames = 500_000
	// span is the length of the moments that are told apart.
	span = 2 * time.Second
)

// ErrEmpty means that no line of a host was found.
var ErrEmpty = merry.New("no line of a host was found")

// Losses adds lines up. It belongs to one goroutine.
type Losses struct {
	lines  int
	bad    int // lines passed over
	unkept int // loads and late requests beyond the bound

	names    map[string]int32
	routes   map[string]*tally
	moments  map[int64]*tally
	teams    map[string]*use
	failures map[string]int
	events   []event
	waits    []wait
}

// NewLosses returns sums of nothing.
func NewLosses() *Losses {
	return &Losses{
		names: map[string]int32{}, routes: map[string]*tally{}, moments: map[int64]*tally{}, teams: map[string]*use{}, failures: map[string]int{},
	}
}

// Read adds the lines of one reader. It fails only where reading does.
func (l *Losses) Read(r io.Reader) error {
	in := bufio.NewReaderSize(r, mostLine)
	for {
		line, err := in.ReadSlice('\n')
		whole := true
		for errors.Is(err, bufio.ErrBufferFull) {
			whole = false
			_, err = in.ReadSlice('\n')
		}
		if len(line) > 0 && whole {
			l.add(line)
		} else if !whole {
			l.bad++
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return merry.Prepend(err, "reading lines")
		}
	}
}

// add takes one line.
func (l *Losses) add(text []byte) {
	x, ok := parse(text)
	if !ok {
		l.bad++
		return
	}
	l.lines++
	switch x.Msg {
	case "request ended":
		l.request(x)
		l.team(x)
	case "adapter loaded", "adapter unloaded", "engine known":
		l.keep(x)
	case "load failed":
		l.failures[x.cause()]++
	}
}

// name returns a small number that stands for a name, -1 where there are too many.
func (l *Losses) name(text string) int32 {
	if n, ok := l.names[text]; ok {
		return n
	}
	if len(l.names) >= mostNames {
		return -1
	}
	n := int32(len(l.names))
	l.names[text] = n
	return n
}
