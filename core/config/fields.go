// Package config reads the operators' sheet and keeps the configuration in force.
package config

// Fields are the parts that a Document is built from, and its JSON form.
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

// Service describes a plain service and its idempotent calls.
type Service struct {
	Name string `json:"name"`
	// Refusal tells whether a Not-Run response header of this service is trusted.
	Refusal bool   `json:"refusal"`
	Calls   []Call `json:"calls"`
	// MaxChannels bounds the connections that one endpoint accepts from all daemons together; 0 means no bound.
	MaxChannels int `json:"max-channels,omitempty"`
	// Engine describes the model engines of the service; it is nil for a plain service.
	Engine *Engine `json:"engine,omitempty"`
}

// Call describes a call of a service by method and path pattern; a trailing /* matches any rest.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
}

// Model describes a model that the endpoints should serve.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// Fencing tells whether the model's engines check the fencing token of an order.
	Fencing  bool      `json:"fencing"`
	Adapters []Adapter `json:"adapters"`
}

// Adapter describes an adapter of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Workspace describes a customer with its share and limits. A limit of 0 means no limit.
type Workspace struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	// Priority orders requests within an engine; a lower number is served sooner.
	Priority          int     `json:"priority"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	TokensPerSecond   float64 `json:"tokens-per-second"`
	Concurrency       int     `json:"concurrency"`
	// KeyDigest is the SHA-256 digest of the API key in hex.
	KeyDigest string `json:"key-digest"`
	// KeyDigests are the digests of further API keys of the workspace.
	KeyDigests []string `json:"key-digests,omitempty"`
}

// Settings are the sheet's choices for the whole system.
type Settings struct {
	// ResumePreference is "latency" or "cost".
	ResumePreference string `json:"resume-preference"`
	// WeightLoadsPerMinute is the weight store's limit for the whole system.
	WeightLoadsPerMinute float64 `json:"weight-loads-per-minute"`
	// MaxWaitMS bounds the wait of a caller for the next token after a loss, in milliseconds.
	MaxWaitMS int `json:"max-wait-ms"`
}
