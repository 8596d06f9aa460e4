// Package member holds one daemon's membership table: its peers, and the endpoints that are leaving or dead.
package member

import (
	"time"

	"radishhollow/core/evidence"
	"radishhollow/core/kv"
	"radishhollow/core/quarantine"
	"radishhollow/core/rollout"
	"radishhollow/core/throttle"
	"radishhollow/core/version"
)

// View is the message that daemons exchange. It contains ages at the time of sending instead of timestamps, so that the
// clocks of two machines are never compared.
type View struct {
	Address     string
	Incarnation string
	Place       string
	// Draining is set once the drain of a planned stop has begun. The daemon still accepts requests for a while, but peers
	// no longer follow the key-value service through it.
	Draining bool
	// Revision and Digest identify the configuration in force on the daemon.
	Revision uint64
	Digest   string
	// InstanceListRevision is the store's revision with which the daemon received its copy of the instance list. The list
	// need not have changed at that revision. It is zero if the list has no revision.
	InstanceListRevision kv.Revision
	Demand               []Demand
	Marks                []Mark
	Members              []Member
	// Evidence is the sender's evidence on parts of prompts that may crash engines. It is empty in a view from a version
	// without it.
	Evidence quarantine.Evidence
	// Limits are the limits that endpoints have named.
	Limits []throttle.Report
	// Rollouts are the roll-outs that the sender knows.
	Rollouts []rollout.State
	// Observations are what daemons have seen of endpoints.
	Observations []evidence.Report
	// Stranded is set while the sender reaches no endpoint.
	Stranded bool
	// ServesDelegated is set by a daemon that serves requests for peers which reach no endpoint.
	ServesDelegated bool
	// ContactAge is the time since an endpoint last responded to the sender, or 0 if none has.
	ContactAge time.Duration
	// Histories are the histories of versions that the sender knows.
	Histories []version.Report
}

// Demand is the demand of one workspace at one daemon.
type Demand struct {
	Workspace         string
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// Mark states that an incarnation of an endpoint is leaving, or dead if Dead is true. These marks are exchanged with
// peers; route.Table keeps marks of its own, which its method Pick obeys.
type Mark struct {
	Address     string
	Incarnation string
	Dead        bool
	// Age is the time since a daemon first added the mark to its Table. The mark in that daemon's route.Table may be
	// older.
	Age time.Duration
}

// Member describes one daemon in the membership table of another.
type Member struct {
	Address     string
	Incarnation string
	Place       string
	// LinkMbps is the rate of the daemon's link in Mbit/s, or 0 if it is not known. Only registrations have it.
	LinkMbps float64
	// Revision is the configuration revision that the daemon last reported.
	Revision uint64
	Draining bool
	// Age is the time since any daemon last received a message from it directly.
	Age time.Duration
}
