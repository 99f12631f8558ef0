package bench

import (
	"math"

	"damaskreach/internal/trace"
)

// Belady returns a lower bound on the loads of a trace: those of a clairvoyant that sees all slots of the site
// as one cache, serves the requests in order of arrival, unloads what is needed again last, and meets no faults.
func Belady(tr *trace.Trace) int {
	slots := 0
	for _, r := range tr.Runners {
		slots += r.Slots
	}
	var asked []string
	for _, a := range tr.Arrivals {
		if a.Call.Adapter != "" {
			asked = append(asked, a.Call.Model())
		}
	}
	return belady(asked, slots)
}

func belady(asked []string, slots int) int {
	after := nextUse(asked)
	resident := map[string]int{} // when each is needed next
	loads := 0
	for i, model := range asked {
		if _, has := resident[model]; !has {
			loads++
			if len(resident) >= slots {
				delete(resident, farthest(resident))
			}
		}
		resident[model] = after[i]
	}
	return loads
}

// nextUse returns for each position where its model is asked for next.
func nextUse(asked []string) []int {
	after := make([]int, len(asked))
	next := map[string]int{}
	for i := len(asked) - 1; i >= 0; i-- {
		after[i] = math.MaxInt
		if at, again := next[asked[i]]; again {
			after[i] = at
		}
		next[asked[i]] = i
	}
	return after
}

func farthest(resident map[string]int) string {
	worst, at := "", -1
	for model, next := range resident {
		if next > at || next == at && model < worst {
			worst, at = model, next
		}
	}
	return worst
}
