// Package budget bounds retries to a share of the requests.
//
// When many requests fail at once, unbounded retries multiply the load just when there is least capacity, and runners see
// more attempts than callers' requests. Each request adds a share of a retry to the budget; each retry spends one.
package budget

// maxSaved is the most retries that can be saved up, so that quiet hours do not pay for a burst of failures.
const maxSaved = 20

// Budget is the retry budget of one node. It is not safe for concurrent use.
type Budget struct {
	share float64
	saved float64
}

// NewBudget returns a full budget that allows share retries a request in the long run.
func NewBudget(share float64) *Budget {
	return &Budget{share: share, saved: maxSaved}
}

// SetShare changes the share of retries.
func (b *Budget) SetShare(share float64) {
	b.share = share
}

// AddRequest counts a caller's request.
func (b *Budget) AddRequest() {
	b.saved = min(maxSaved, b.saved+b.share)
}

// TryRetry reports whether a retry is allowed and, if so, spends it.
func (b *Budget) TryRetry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
