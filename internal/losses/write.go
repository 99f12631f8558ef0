package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"
)

// Write writes the tables; it fails where no line of a host was read.
func (l *Losses) Write(w io.Writer) error {
	if l.lines == 0 {
		return merry.Appendf(ErrEmpty, "%d lines passed over", l.bad)
	}
	fmt.Fprintf(w, "lines %d, passed over %d", l.lines, l.bad)
	if l.unkept > 0 {
		fmt.Fprintf(w, ", too many loads: %d not counted below", l.unkept)
	}
	fmt.Fprintln(w)
	l.writeRequests(w)
	l.writeTeams(w)
	l.writeMoments(w)
	l.writeRefused(w)
	groups := l.loads()
	l.writeWaits(w)
	l.writeLoads(w, groups)
	l.writeFailures(w)
	return nil
}

// table writes rows in columns.
func table(w io.Writer, write func(out io.Writer)) {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	write(out)
	out.Flush()
}

func head(out io.Writer, name string) {
	fmt.Fprintf(out, "%s\tasked\t%s\t\n", name, strings.Join(kinds, "\t"))
}

func row(out io.Writer, name string, t *tally) {
	fmt.Fprintf(out, "%s\t%d\t", name, t.all)
	for _, kind := range kinds {
		fmt.Fprintf(out, "%d\t", t.kinds[kind])
	}
	fmt.Fprintln(out)
}

func (l *Losses) writeRequests(w io.Writer) {
	fmt.Fprintln(w, "\nrequests by route")
	table(w, func(out io.Writer) {
		head(out, "route")
		for _, name := range slices.Sorted(maps.Keys(l.routes)) {
			row(out, cmp.Or(name, "(none)"), l.routes[name])
		}
	})
}

func (l *Losses) writeMoments(w io.Writer) {
	fmt.Fprintf(w, "\nrequests by when they began, %v each\n", span)
	table(w, func(out io.Writer) {
		head(out, "from")
		for _, at := range slices.Sorted(maps.Keys(l.moments)) {
			row(out, time.Unix(at, 0).UTC().Format("15:04:05"), l.moments[at])
		}
	})
}

func (l *Losses) writeRefused(w io.Writer) {
	codes := map[string]int{}
	for _, t := range l.routes {
		for code, n := range t.codes {
			codes[code] += n
		}
	}
	fmt.Fprintf(w, "\nrefused or cut, by code: %s\n", counts(codes))
}

func (l *Losses) writeWaits(w io.Writer) {
	found := map[string]int{}
	for name, n := range l.behind() {
		found[l.text(name)] += n
	}
	fmt.Fprintf(w, "late behind a load, by what the load waited for: %s\n", counts(found))
}

func (l *Losses) writeLoads(w io.Writer, groups map[string]*group) {
	fmt.Fprintln(w, "\nadapters loaded, by what for")
	table(w, func(out io.Writer) {
		fmt.Fprintln(out, "what for\tloads\twaited, median\t95 in 100\theld up behind\t")
		for _, kind := range purposes {
			g, ok := groups[kind]
			if !ok {
				continue
			}
			slices.Sort(g.waits)
			found := map[string]int{}
			for name, n := range g.behind {
				found[l.text(name)] += n
			}
			fmt.Fprintf(out, "%s\t%d\t%v\t%v\t%s\t\n", kind, g.count, part(g.waits, 50), part(g.waits, 95), counts(found))
		}
	})
}

func (l *Losses) writeFailures(w io.Writer) {
	fmt.Fprintf(w, "\nloads asked for that failed, by cause: %s\n", counts(l.failures))
}

// part returns the value that so many in a hundred of a sorted list do not exceed.
func part(list []time.Duration, hundredths int) time.Duration {
	return list[(len(list)-1)*hundredths/100].Round(time.Millisecond)
}

// text returns the name that a number stands for.
func (l *Losses) text(number int32) string {
	if number == math.MinInt32 {
		return "unknown"
	}
	for name, n := range l.names {
		if n == number {
			return cmp.Or(name, "nothing")
		}
	}
	return "unknown"
}

// counts writes names with their counts, the most frequent first.
func counts(of map[string]int) string {
	names := slices.SortedFunc(maps.Keys(of), func(a, b string) int { return cmp.Or(of[b]-of[a], strings.Compare(a, b)) })
	texts := make([]string, len(names))
	for i, name := range names {
		texts[i] = fmt.Sprintf("%s %d", name, of[name])
	}
	return cmp.Or(strings.Join(texts, ", "), "none")
}
