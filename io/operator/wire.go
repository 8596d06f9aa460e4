// Package operator implements the HTTP server for operators and the client that the command line uses.
package operator

import "radishhollow/core/config"

// Instance describes one daemon, as known to the daemon that responds.
type Instance struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
	Revision    uint64 `json:"revision"`
	// Digest is the digest of the revision. It is empty if the responding daemon knows the revision only from the report
	// of another daemon.
	Digest string `json:"digest"`
	// Draining reports whether the drain of the daemon's planned stop has begun.
	Draining bool `json:"draining"`
	// LastSeenAgeMS is the time in milliseconds since any other daemon last received a message from the daemon, or -1 if
	// none has. It is 0 for the daemon that responds.
	LastSeenAgeMS int64 `json:"heard-ms"`
}

// Status is the state of the fleet as known to one daemon.
type Status struct {
	Revision    uint64     `json:"revision"`
	SheetNumber int        `json:"sheet-number"`
	Digest      string     `json:"digest"`
	Isolated    bool       `json:"isolated"`
	Instances   []Instance `json:"instances"`
}

// Plan contains the changes that a sheet would make. Digest is the digest that the configuration would then have.
type Plan struct {
	// Base is the revision in force that the sheet was compared with.
	Base        uint64          `json:"base"`
	SheetNumber int             `json:"sheet-number"`
	Digest      string          `json:"digest"`
	Changes     []config.Change `json:"changes"`
}

// Applied is the response to an accepted sheet.
type Applied struct {
	Revision       uint64 `json:"revision"`
	Digest         string `json:"digest"`
	AlreadyInForce bool   `json:"already-in-force"`
}

// Problem is the body of an error response. Faults is set for the code faulty-sheet, and Current and Difference for
// config-conflict.
type Problem struct {
	Message    string          `json:"message"`
	Code       string          `json:"code"`
	Outcome    string          `json:"outcome"`
	Faults     config.Faults   `json:"faults,omitempty"`
	Current    uint64          `json:"current,omitempty"`
	Difference []config.Change `json:"difference,omitempty"`
}
