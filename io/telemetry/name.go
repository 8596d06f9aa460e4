package telemetry

// Names of histograms of durations in seconds, each with a workspace label.
const (
	TimeToFirstToken = "time_to_first_token"
	TokenGap         = "token_gap"
	ResumeLatency    = "resume_latency"
	QueueWait        = "queue_wait"
	BookingTime      = "booking_time"
	RequestTime      = "request_time"
)

// Names of counters, each with a class label. The class crossed is output that belongs to another generation or
// attempt, or contradicts what was delivered.
const (
	Requests          = "requests"            // class is ok, the outcome or the error code
	CutResponses      = "cut_responses"       // class is the code of the cause
	Attempts          = "attempts"            // class is first, resume or attach
	DroppedTokens     = "dropped_tokens"      // class is duplicate or crossed
	EngineLosses      = "engine_losses"       // class is connection, silence or crossed
	SpuriousFailovers = "spurious_failovers"  // class is silence
	PrefillTokens     = "prefill_tokens"      // class is first or resume
	Claims            = "claims"              // class is created, replayed, conflict or failed
	Bookings          = "bookings"            // class is the outcome
	Revisions         = "revisions"           // class is watch, poll, peer, refused or older
	Exchanges         = "exchanges"           // class is ok, failed or unsigned
	KeyValueCalls     = "key_value_calls"     // class is the call
	Panics            = "panics"              // class is the component, "request" or "exchange"
	Relay             = "relay"               // class is the event, as in package relay
	ControlBytes      = "control_bytes"       // class is sent or received
	Copies            = "copies"              // copies of KV caches; class is moved, renewed or failed
	Orders            = "orders"              // class is the order's kind or refused
	Rejections        = "rejections"          // class is the error code
	Restarts          = "restarts"            // class is the component
	Eras              = "store_eras"          // class is store, endpoints, registration or keys
	RestoredEndpoints = "restored_endpoints"  // class is kept, held-back or dropped
	Announcements     = "announcements"       // class is leaving, rest, limit or malformed
	Limited           = "limited_requests"    // kept from an endpoint by its limit; class is elsewhere or rejected
	LocatedPrompts    = "located_prompts"     // looked for in the caches of engines; class is found or not-found
	LoadHeaders       = "load_headers"        // class is four-figures, old-form or malformed
	Rollouts          = "rollouts"            // phases that roll-outs have entered; class is the phase, as in package rollout
	StreamVersions    = "stream_versions"     // class is as in package version, or gone, changed or unknown-REASON of a stream that does not go on
	RolloutOrders     = "rollout_orders"      // class is malformed or withdrawn
	RolloutStatus     = "rollout_status"      // class is written, conflict, failed or malformed
	Evidence          = "evidence"            // endpoints set aside or returned; class is failing, slow or returned
	Quarantine        = "quarantine"          // class is end, lived, refused, quarantined or released
	RefusedConns      = "refused_connections" // class is the cause, as in package connlimit
	ClosedConns       = "closed_connections"  // of callers, in planned stops; class is daemon, caller, reset, limits or stop
	Delegations       = "delegations"         // sends to a peer, with class sent, refused or lost, and requests of peers, served or rejected
	Transfers         = "transfers"           // of lists and configurations; class is store, reader or peer, with -ok or -failed
	TransferBytes     = "transfer_bytes"      // class is as for Transfers
)

// Names of gauges.
const (
	QuarantinedParts  = "quarantined_parts"
	LeavingEndpoints  = "leaving_endpoints"
	RestingEndpoints  = "resting_endpoints"
	StatedSlowdown    = "stated_slowdown"
	LimitedEndpoints  = "limited_endpoints"
	ActiveRollouts    = "active_rollouts"
	OldInFlight       = "rollout_old_in_flight" // in flight on endpoints of other versions than the target
	EndpointsSetAside = "endpoints_set_aside"
	OpenConns         = "open_connections"
	ConnMemory        = "connection_memory_bytes"
	Stranded          = "stranded" // 1 while no endpoint is reachable
)
