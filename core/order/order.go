// Package order brings the models on the engines of a place in line with the configuration.
package order

import "radishhollow/core/generation"

// Kind is what an engine is told to do.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	Unload      Kind = "unload"
)

// Order is one command for one engine. It is comparable; a repeated order equals the first.
type Order struct {
	Address     string
	Incarnation string
	Kind        Kind
	// Spec names the model and version, and for an adapter the adapter and its version.
	Spec generation.Spec
	// Fencing tells whether the engine checks the fencing token.
	Fencing bool
}

// readsWeights tells whether the order reads from the weight store.
func (o Order) readsWeights() bool { return o.Kind != Unload }
