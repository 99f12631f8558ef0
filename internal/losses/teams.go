package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"damaskreach/pkg/refuse"
)

// use is what one team asked for and got.
type use struct {
	asked, served, limited, other int
	units, over                   float64           // that counted, and that were refused over the limit
	moments                       map[int64]float64 // units that counted, by when their requests began
}

// team adds the end of a request to its team. Callers that hold no key have none.
func (l *Losses) team(x line) {
	if x.Team == "" {
		return
	}
	u := l.teams[x.Team]
	if u == nil {
		if l.name(x.Team) < 0 {
			return
		}
		u = &use{moments: map[int64]float64{}}
		l.teams[x.Team] = u
	}
	u.asked++
	switch x.Code {
	case "ok":
		u.served++
	case refuse.Limited:
		u.limited++
		u.over += x.Units
		return
	default:
		u.other++
	}
	u.units += x.Units
	u.moments[x.moment()] += x.Units
}

// most returns the units of the moment with the most.
func (u *use) most() float64 {
	most := 0.0
	for _, units := range u.moments {
		most = max(most, units)
	}
	return most
}

func (l *Losses) writeTeams(w io.Writer) {
	if len(l.teams) == 0 {
		return
	}
	fmt.Fprintf(w, "\nrequests by team, and units counted against its limit; most: in %v\n", span)
	table(w, func(out io.Writer) {
		fmt.Fprintln(out, "team\tasked\tserved\tlimited\tother\tunits\tmost\trefused\t")
		for _, name := range slices.Sorted(maps.Keys(l.teams)) {
			u := l.teams[name]
			fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t\n", name, u.asked, u.served, u.limited, u.other, u.units, u.most(), u.over)
		}
	})
}
