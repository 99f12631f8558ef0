package engine

// Headers of the protocol with upstreams, described in PROTOCOLS.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt-Id"
	HeaderKey      = "Idempotency-Key"
	HeaderFence    = "X-Fence"       // the sender's fencing token, decimal
	HeaderPriority = "X-Priority"    // higher is more urgent, decimal
	HeaderResume   = "X-Resume-From" // number of tokens already delivered; the answer continues after them
	HeaderPrefix   = "X-Prefix"      // hash of the prompt's prefix
	HeaderRefused  = "X-Not-Started" // set by an engine on a 503 if it started nothing
)

// Paths of an engine's API for orders and reports.
const (
	PathLoad   = "/orders/load"
	PathUnload = "/orders/unload"
	PathReport = "/report"
)
