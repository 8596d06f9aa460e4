// Package route picks the endpoint of each attempt by the instance list, load reports and marks.
package route

import "radishhollow/core/rollout"

// Kind is the type of an endpoint.
type Kind string

// Endpoint kinds in the instance list.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Criteria describes the endpoint that one attempt requires and prefers.
type Criteria struct {
	Kind Kind
	// Name is the name of the model or service.
	Name string
	// Route is the name of the configured route of the request, or empty.
	Route   string
	Adapter string
	// Spec is the spec that the endpoint must have loaded, in the form of generation.Spec; if empty, any version of the
	// model will do.
	Spec string
	// PreferredSpec is the spec that the configuration wants. Endpoints that have it and a free slot are preferred, so
	// that endpoints with an older version can finish their streams before they load the new one.
	PreferredSpec string
	Workspace     string
	// Prompt holds the prompt's token ids for prefix matching; nil for services.
	Prompt []uint32
	// PromptTokens is the length of a prompt whose token ids are unknown.
	PromptTokens int
	// MaxTokens bounds the remaining output; 0 means no bound.
	MaxTokens int
	// Resume is set for a generation that lost its engine.
	Resume bool
	// PreferredAddress is the address of the endpoint to pick if it is eligible; may be empty.
	PreferredAddress string
	// KVCopyHolder is set for the choice of an endpoint that is to hold a copy of a KV cache, which is no request.
	KVCopyHolder bool
	// LocalPlace is the place of the daemon. Endpoints elsewhere get Policy.OtherPlacePenalty.
	LocalPlace string
	// AvoidPlace is a place whose endpoints are picked only if no endpoint elsewhere is eligible.
	AvoidPlace string
	// AffinityKey identifies a prompt or prefix that several requests share, such as those of a caller that reconnects
	// to another daemon. Among endpoints of about equal score, all daemons pick the same one for a key, because it may
	// still have the prompt in its cache.
	AffinityKey string
	// Reconnected is set if the caller has received a part of the response and has connected again. The endpoint that
	// AffinityKey selects then likely has the prompt in its cache, and its load may still include the lost run.
	Reconnected bool
	// MaxInFlight bounds this daemon's requests in flight on one endpoint; 0 means no bound.
	MaxInFlight int
	// QueriedAddresses are the endpoints that were queried for their load before this pick; see
	// Table.LoadQueryCandidates. They limit the choice if at least one of them is eligible.
	QueriedAddresses []string
	// ExcludeSilent excludes endpoints that are only silent. Otherwise they are chosen if there is no other.
	ExcludeSilent bool
	// mayTry is set if the request may be the trial request of an endpoint that is set aside.
	mayTry bool
	// Version is the only version that the endpoint may have, if HasVersion is set.
	Version    string
	HasVersion bool
	// Exclude holds the addresses on which this request has already failed. Pick never returns one of them.
	Exclude map[string]bool

	// rule states the versions that the pick may choose.
	rule rollout.Rule
	// preferredOnly limits the choice to PreferredAddress.
	preferredOnly bool
	// mayFallBack is set if another pick with another rule follows where this one fails.
	mayFallBack bool
}
