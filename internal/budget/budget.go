// Package budget bounds retries to a share of the requests.
//
// When many requests fail at once, retries without a bound multiply the load just when there is least room for it:
// one would notice more attempts than callers' requests on every runner. Each request earns a share of a retry,
// each retry spends a whole one.
package budget

// most is how many retries can be saved up, so that a quiet hour does not pay for a storm.
const most = 20

// Budget is what one node may still retry. It is used from one goroutine.
type Budget struct {
	share float64
	saved float64
}

// NewBudget returns a full budget that allows share retries a request in the long run.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, saved: most}
}

// Tune changes the share.
func (b *Budget) Tune(share float64) {
	b.share = share
}

// Request counts a request of a caller.
func (b *Budget) Request() {
	b.saved = min(most, b.saved+b.share)
}

// Retry reports whether a request may be tried again, and spends it.
func (b *Budget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
