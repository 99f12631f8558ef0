package engine

// Headers of the protocol with upstreams. PROTOCOLS describes each.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt-Id"
	HeaderKey      = "Idempotency-Key"
	HeaderFence    = "X-Fence"       // fencing number of the sender's ownership, decimal
	HeaderPriority = "X-Priority"    // higher is more urgent, decimal
	HeaderResume   = "X-Resume-From" // tokens that were delivered before; the answer goes on after them
	HeaderPrefix   = "X-Prefix"      // hash of the prompt's opening
	HeaderRefused  = "X-Not-Started" // set by an engine on a 503 that it gave before starting anything
)

// Paths of an engine's interface for orders and reports.
const (
	PathLoad   = "/orders/load"
	PathUnload = "/orders/unload"
	PathReport = "/report"
)
