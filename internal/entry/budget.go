package entry

import "sync"

const (
	burst        = 10 // retries allowed at once when the budget is full
	mostAttempts = 4  // dispatches of one request
)

// budget bounds retries to a share of requests: when every attempt fails, unbounded retries would multiply
// the load just when the runners can bear it least.
type budget struct {
	mu    sync.Mutex
	spent float64 // retries not yet covered by requests
}

func (b *budget) earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
