// Package order plans and sends the orders that make the engines of a place serve the configured models.
package order

import "radishhollow/core/generation"

// Kind is the type of an order.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "load-model"
	LoadAdapter Kind = "load-adapter"
	Unload      Kind = "unload"
)

// Order is one command to one engine. Orders are comparable, and a repeated order equals the first one.
type Order struct {
	Address     string
	Incarnation string
	Kind        Kind
	// Spec identifies the model and its version, and for an adapter also the adapter and its version.
	Spec generation.Spec
	// Fencing is true if the engine checks the fencing token.
	Fencing bool
}

// readsWeights reports whether the order makes the engine read from the weight store.
func (o Order) readsWeights() bool { return o.Kind != Unload }
