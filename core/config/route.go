package config

import "time"

// RouteKind determines how the requests of a route are served and whether they may be repeated.
type RouteKind string

// Kinds of forwarded requests.
const (
	// KindIdempotent requests may be executed more than once.
	KindIdempotent RouteKind = "idempotent"
	// KindOnce requests may be executed at most once.
	KindOnce RouteKind = "once"
	// KindStream requests get a stream of events in response.
	KindStream RouteKind = "stream"
)

// Route assigns the forwarded requests of a host and path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Split holds the services with their weights. It has at least one element.
	Split []Split `json:"split"`
	// Attempts limits the attempts of one request: all attempts of an idempotent request, the endpoints that respond to
	// a KindOnce request, and the attempts of a resumable stream that may have run.
	Attempts int `json:"attempts"`
	// TimeoutMS is the time within which the caller must receive its final response, in milliseconds.
	TimeoutMS int `json:"timeout-ms"`
	// TargetMS is the latency objective in milliseconds; for streams, it applies to the first event.
	TargetMS int `json:"target-ms"`
	// EventGapTargetMS is the objective for the longest time between two events of a stream, in milliseconds; 0 means
	// no objective.
	EventGapTargetMS int `json:"pause-ms,omitempty"`
	// Priority orders the requests; a lower number is served first.
	Priority int `json:"priority"`
	// Public is set if requests need no API key.
	Public bool `json:"public,omitempty"`
	// Resumable is set if a stream may be resumed at another endpoint.
	Resumable bool `json:"resumable,omitempty"`
}

// Split is one service of a route with its weight.
type Split struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Engine describes the model engines of a service.
type Engine struct {
	// CacheTokens is the KV cache capacity of one engine, in tokens.
	CacheTokens int `json:"cache-tokens"`
	// ContinuousKVCopies reports whether the KV cache of a generation can be copied continuously to another engine while
	// it grows.
	ContinuousKVCopies bool `json:"backups,omitempty"`
	// KVCopiesOnRequest reports whether a request to an engine can copy the KV cache of a generation to another engine.
	// KeepMS is how long an engine keeps such a copy, in milliseconds.
	KVCopiesOnRequest bool `json:"moves,omitempty"`
	KeepMS            int  `json:"keep-ms,omitempty"`
}

// KeepFor returns how long an engine keeps a copy that was made on request.
func (e Engine) KeepFor() time.Duration { return time.Duration(e.KeepMS) * time.Millisecond }

// Limits are the limits for forwarded requests. Only BodyBytes is enforced, by io/forward, which replaces 0 by a
// default. A connection may be idle for at least IdleTimeoutMS.
type Limits struct {
	HeaderBytes     int `json:"header-bytes,omitempty"`
	BodyBytes       int `json:"body-bytes,omitempty"`
	HeaderTimeoutMS int `json:"header-timeout-ms,omitempty"`
	IdleTimeoutMS   int `json:"idle-timeout-ms,omitempty"`
}

// Timeout returns the time within which the caller must receive its final response.
func (r Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Target returns the latency objective.
func (r Route) Target() time.Duration { return time.Duration(r.TargetMS) * time.Millisecond }

// EventGapTarget returns the objective for the longest time between two events of a stream.
func (r Route) EventGapTarget() time.Duration {
	return time.Duration(r.EventGapTargetMS) * time.Millisecond
}

// Service returns the service that point, a number from 0 to 1, selects. Each service covers a part of that range in
// proportion to its weight.
func (r Route) Service(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	remaining := point * float64(total)
	for _, s := range r.Split {
		if remaining -= float64(max(s.Weight, 0)); remaining < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
