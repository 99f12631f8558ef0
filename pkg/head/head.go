// Package head names the HTTP headers of the callers' interface.
package head

// Headers of requests and answers. PROTOCOLS describes each.
const (
	Request  = "X-Request-Id"      // names the request in logs and explanations; made up where absent
	Key      = "Idempotency-Key"   // repeats with one key are answered once
	Once     = "X-Non-Idempotent"  // "true": at most one dispatch
	Priority = "X-Priority"        // integer, higher is more urgent
	Timeout  = "X-Request-Timeout" // duration such as "5s" after which no answer is wanted
	Class    = "X-Class"           // traffic class, for metrics and fair shares
	Replayed = "X-Replayed"        // "true" on the answer to a repeat
	Verdict  = "X-Verdict"         // on answers: whether the request may have run
)

// Kind is the type of our own errors, which tells them from an upstream's in an answer's body.
const Kind = "damaskreach"
