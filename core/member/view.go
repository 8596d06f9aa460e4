// Package member keeps what one daemon knows of its peers and of endpoints that are leaving or dead.
package member

import "time"

// View is what one daemon tells another. Ages are relative to the sending, so that no clocks are compared.
type View struct {
	Address     string
	Incarnation string
	Place       string
	Draining    bool
	Revision    uint64
	Digest      string
	// InstanceListRevision is the revision at which the instance list last changed.
	InstanceListRevision uint64
	Demand  []Demand
	Marks   []Mark
	Members []Entry
}

// Demand is the demand of one workspace at one daemon.
type Demand struct {
	Workspace         string
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int
}

// Mark tells that an endpoint's incarnation is leaving or dead.
type Mark struct {
	Address     string
	Incarnation string
	Dead        bool
	// Age is the time since the mark was first set by any daemon.
	Age time.Duration
}

// Entry is one daemon in the table of another.
type Entry struct {
	Address     string
	Incarnation string
	Place       string
	Revision    uint64
	Draining    bool
	// Age is the time since any daemon last heard from it directly.
	Age time.Duration
}
