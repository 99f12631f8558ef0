package stats

// Names of metrics. The labels that each one takes stand behind it.
const (
	Requests       = "requests_total"                   // route, code, verdict
	Teams          = "team_requests_total"              // team, code
	Units          = "team_units_total"                 // team, outcome
	Took           = "request_seconds"                  // route
	First          = "request_first_seconds"            // route
	Turn           = "request_turn_seconds"             // route
	Pause          = "request_pause_seconds"            // route
	Sends          = "sends_total"                      // upstream, outcome
	Rejections     = "rejections_total"                 // status, doubt, named, reused
	Strays         = "answers_skipped_total"            // named
	Breaks         = "request_breaks_total"             // outcome
	Retries        = "retries_total"                    // group, outcome
	RetryUsed      = "retry_budget_used"                // group
	RetryBound     = "retry_budget_bound"               // group
	RetryExtra     = "retry_budget_extra"               // group
	RetryHosts     = "retry_budget_hosts"               // group
	RetryBase      = "retry_budget_requests"            // group
	RetryLate      = "retry_budget_late"                // group
	Connections    = "connections_opened_total"         // none
	ConnsOpen      = "caller_connections"               // port
	ConnsRefused   = "caller_connections_refused_total" // port
	CallersDropped = "callers_dropped_total"            // none
	CallerBytes    = "caller_bytes"                     // none
	Admits         = "turns_total"                      // outcome
	Store          = "store_seconds"                    // call, rows
	StoreFails     = "store_failures_total"             // call, rows, error
	Claims         = "engines_claimed_total"            // none
	Renewals       = "lease_renewals_total"             // outcome
	Orders         = "orders_total"                     // operation, effect
	Loads          = "load_seconds"                     // from
	LoadWaits      = "load_wait_seconds"                // behind
	Unloads        = "unloads_total"                    // effect
	Age            = "belief_age_seconds"               // belief
	LeaseLeft      = "lease_left_seconds"               // none
	Room           = "reading_room_share"               // none
	Engines        = "engines_ordered"                  // none
	Hosts          = "hosts_serving"                    // none
	Upstreams      = "upstreams_known"                  // none
	Detours        = "connections_detoured_total"       // outcome
	Passed         = "connections_passed"               // none
	Origins        = "stream_origins_total"             // outcome
	RowsTold       = "rows_told_bytes_total"            // rows
	Unreached      = "upstreams_unreached_seconds"      // none
	Dropped        = "log_lines_dropped_total"          // none
	Other          = "metric_series_dropped_total"      // metric
)

// help says what each metric is, for the page that scrapers read.
var help = map[string]string{
	Requests:       "requests of callers by route, outcome and whether they may have run",
	Teams:          "requests of callers by team and outcome",
	Units:          "units counted against limits of teams by outcome: granted, given back, or the code of the refusal",
	Took:           "time from a request to the end of its answer",
	First:          "time from a request to the first byte of its answer",
	Turn:           "time that a request waited here before it was last sent",
	Pause:          "longest time between two events of a stream",
	Sends:          "sends of requests to upstreams by outcome",
	Rejections:     "answers that say that the request was not run, by status, whether they named it, and whether their connection was used before",
	Strays:         "answers of upstreams that do not belong to the request that waited for one, by whether they name another",
	Breaks:         "upstreams that broke off while they ran a request, by what was made of it: counted, excused, or cleared by an answer",
	Retries:        "sends of requests beyond the first, by whether the bound of retries allowed them",
	RetryUsed:      "retries of the window that this host has used of its part of the bound",
	RetryBound:     "this host's part of the bound of retries of the window",
	RetryExtra:     "what of that bound is this host's part of the constant extra, 0 while it has none",
	RetryHosts:     "hosts among which this host divides the bound of retries",
	RetryLate:      "retries of the window that may yet arrive, as an upstream to which their requests were sent has not been heard of since",
	RetryBase:      "requests of the last window that this host counts for its bound of retries",
	Connections:    "new connections to upstreams",
	ConnsOpen:      "connections from outside by port: callers, lookup, ready or metrics",
	ConnsRefused:   "connections from outside that were closed at once, since there was no place",
	CallersDropped: "callers that were cut off, idle ones included, since they sent too slowly while others needed their room or place",
	CallerBytes:    "bytes that callers hold of the room for what they send",
	Origins:        "streams that callers resume, by how the build that began them was found",
	Admits:         "turns asked for at engines by outcome",
	Store:          "time of calls to the store; those of the feed include the wait for a change",
	StoreFails:     "calls to the store that failed",
	Claims:         "engines that this host took",
	Renewals:       "renewals of this host's lease by outcome",
	Orders:         "orders to engines by effect",
	Loads:          "time that loads took, by where the weights came from",
	LoadWaits:      "time that loads waited for their order, by what held them up last",
	Unloads:        "adapters unloaded to make room, by effect",
	Age:            "time since what this host believes was last confirmed",
	LeaseLeft:      "time for which this host may still give orders",
	Room:           "part of the pause that streams allow which is planned for reading prompts",
	Engines:        "engines that this host gives orders to",
	Hosts:          "other hosts that lookups name",
	Upstreams:      "upstreams that are registered",
	Detours:        "connections to upstreams by way of other hosts, by outcome",
	Passed:         "connections to upstreams that this host has open for others",
	Unreached:      "time for which this host has reached no upstream; 0 while it reaches some",
	Dropped:        "lines of the log that were not written",
	Other:          "values counted under \"other\" because a metric has too many series",
}
