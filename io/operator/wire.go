// Package operator serves operators over HTTP and calls that service from the command line.
package operator

import "radishhollow/core/config"

// Instance is one daemon as another one knows it.
type Instance struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
	Revision    uint64 `json:"revision"`
	// Digest is empty where the revision is known only through a third daemon.
	Digest   string `json:"digest"`
	Draining bool   `json:"draining"`
	// LastSeenAgeMS is the time since any daemon heard from it in milliseconds, or -1 where none has.
	LastSeenAgeMS int64 `json:"heard-ms"`
}

// Status is what one daemon knows of the fleet.
type Status struct {
	Revision    uint64     `json:"revision"`
	SheetNumber int        `json:"sheet-number"`
	Digest      string     `json:"digest"`
	Isolated    bool       `json:"isolated"`
	Instances   []Instance `json:"instances"`
}

// Plan is the effect that a sheet would have.
type Plan struct {
	// Base is the revision that the changes start from.
	Base        uint64          `json:"base"`
	SheetNumber int             `json:"sheet-number"`
	Digest      string          `json:"digest"`
	Changes     []config.Change `json:"changes"`
}

// Applied is the answer to an accepted sheet.
type Applied struct {
	Revision       uint64 `json:"revision"`
	Digest         string `json:"digest"`
	AlreadyInForce bool   `json:"already-in-force"`
}

// Problem is the error body. The lists are set for the codes that have them.
type Problem struct {
	Message    string          `json:"message"`
	Code       string          `json:"code"`
	Outcome    string          `json:"outcome"`
	Faults     config.Faults   `json:"faults,omitempty"`
	Current    uint64          `json:"current,omitempty"`
	Difference []config.Change `json:"difference,omitempty"`
}
