// Package config parses the operators' configuration sheet, writes it to the key-value service as a document and keeps
// each daemon's copy of the document in force up to date.
package config

// Fields is the content of a Document. Its JSON encoding is stored and sent to peers, and the digest covers it, so a
// new field needs omitempty or omitzero to keep the digests of documents without it. Each daemon computes the digest
// over its own encoding of the decoded fields, so a daemon that does not know a set field refuses the document with
// DigestError. A sheet sets all fields but Routes and Limits; the configuration of the operators' platform sets
// Services, Workspaces, Routes and Limits.
type Fields struct {
	SheetNumber int         `json:"sheet-number"`
	Places      []string    `json:"places"`
	Services    []Service   `json:"services"`
	Models      []Model     `json:"models"`
	Workspaces  []Workspace `json:"workspaces"`
	Settings    Settings    `json:"settings"`
	Routes      []Route     `json:"routes,omitempty"`
	Limits      Limits      `json:"limits,omitzero"`
}

// Service describes a plain service and its calls, or a service of model engines. A sheet sets Name, TrustsRefusals and
// Calls; the configuration of the operators' platform sets all fields but Calls.
type Service struct {
	Name string `json:"name"`
	// TrustsRefusals reports whether the Not-Run response header of this service, which states that a call was not
	// executed, is trusted.
	TrustsRefusals bool   `json:"refusal"`
	Calls          []Call `json:"calls"`
	// MaxConnections limits the connections from all daemons together to one endpoint; 0 means no limit.
	MaxConnections int `json:"max-channels,omitempty"`
	// Engine describes the model engines of the service; it is nil for a plain service.
	Engine *Engine `json:"engine,omitempty"`
}

// Call describes the calls of a service that match a method and a path pattern. A trailing /* matches any suffix.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Model describes a model that the endpoints are to serve.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Fencing reports whether the engines of the model check the fencing token of an order.
	Fencing  bool      `json:"fencing"`
	Adapters []Adapter `json:"adapters"`
}

// Adapter describes an adapter of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Workspace describes a customer, its share and its limits. A limit of 0 means unlimited. A sheet sets all fields but
// KeyDigests; the configuration of the operators' platform sets Name, Priority and KeyDigests.
type Workspace struct {
	Name string `json:"name"`
	// Share is the workspace's weight relative to the other workspaces.
	Share float64 `json:"share"`
	// Priority orders the requests within an engine; a lower number is served first.
	Priority          int     `json:"priority"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
	Concurrency       int     `json:"concurrency"`
	// KeyDigest is the SHA-256 digest of the API key in the sheet, in hex.
	KeyDigest string `json:"key-digest"`
	// KeyDigests are the SHA-256 digests, in hex, of the API keys in the configuration of the operators' platform,
	// which replaces the sheet if the daemon forwards requests.
	KeyDigests []string `json:"key-digests,omitempty"`
}

// Settings are the system-wide settings of a sheet.
type Settings struct {
	// ResumePreference is "latency" or "cost". "latency" keeps more slots idle for resumed generations and gives up a
	// silent engine earlier.
	ResumePreference string `json:"resume-preference"`
	// WeightLoadsPerMinute is the rate limit of the weight store for the whole system.
	WeightLoadsPerMinute float64 `json:"weight-loads-per-minute"`
	// MaxWaitMS limits how long a caller waits for the next token after its endpoint was lost, in milliseconds.
	MaxWaitMS int `json:"max-wait-ms"`
}
