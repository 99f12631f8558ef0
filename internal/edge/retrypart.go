package edge

import (
	"go.uber.org/zap"

	"damaskreach/internal/used"
)

// retryPart reports whether this host may use its part of the constant extra retries, and what the last process on it had used.
func (e *Edge) retryPart() (before used.Used, ok bool) {
	taken, ok := e.tenure.Part()
	before, err := used.Decode(taken)
	if err != nil {
		e.Log.Warn("what the last process has used of the retries is unknown", zap.Error(err))
		return used.Used{}, false
	}
	return before, ok
}
