// Package totals holds sums over runners, as nodes tell them to operators.
package totals

import "damaskreach/internal/digest"

// Totals is immutable; its methods return changed copies.
type Totals struct {
	Runners int `json:"runners"`
	Slots   int `json:"slots"`
	Free    int `json:"free"`
	Loading int `json:"loading"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Batch   int `json:"batch"`
}

// With returns the sums with one more runner.
func (t Totals) With(d digest.Digest) Totals {
	return t.Plus(Totals{
		Runners: 1,
		Slots:   d.Slots,
		Free:    d.Free,
		Loading: len(d.Loading),
		Running: d.Running,
		Waiting: d.Waiting,
		Batch:   d.Batch,
	})
}

// Plus returns the sums over the runners of both.
func (t Totals) Plus(more Totals) Totals {
	return Totals{
		Runners: t.Runners + more.Runners,
		Slots:   t.Slots + more.Slots,
		Free:    t.Free + more.Free,
		Loading: t.Loading + more.Loading,
		Running: t.Running + more.Running,
		Waiting: t.Waiting + more.Waiting,
		Batch:   t.Batch + more.Batch,
	}
}
