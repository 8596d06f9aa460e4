// Package route chooses the endpoint of each attempt from reported load and marks.
package route

// Kind tells what an endpoint is.
type Kind string

// Kinds of endpoints in the platform's instance list.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Criteria describes the endpoint that one attempt is looking for.
type Criteria struct {
	Kind Kind
	// Name is the model's or the service's name.
	Name    string
	Adapter string
	// Spec is the exact spec that the endpoint must report, or empty for any version of the model.
	Spec string
	// PreferredSpec is the spec that the configuration wants. Endpoints that have it and a free slot go first, so that those with
	// an older version can finish their streams before they are changed.
	PreferredSpec    string
	Workspace string
	// Prompt is the prompt of the attempt for prefix matching; nil for services.
	Prompt []uint32
	// PromptTokens is the size of a prompt whose token ids are not known.
	PromptTokens int
	// MaxTokens bounds the output that is still to come.
	MaxTokens int
	// Resume marks a generation that has lost its engine.
	Resume bool
	// PreferredAddress is the address of an endpoint that is chosen if it may be used at all, or empty.
	PreferredAddress string
	// LocalPlace is the place of the daemon. Among endpoints that are equal otherwise those of the place go first.
	LocalPlace string
	// AvoidPlace is a place whose endpoints are used only where no other has one left.
	AvoidPlace string
	// AffinityKey names what the request shares with others, or with itself when its caller returns at another daemon. Of
	// endpoints that are about equal, all daemons choose the same one for it, which may still hold the prompt.
	AffinityKey string
	// Reconnected tells that the caller has had a part of the answer and comes back, so that the endpoint that Affinity names
	// is likely to hold the prompt, and may still report the run that was lost.
	Reconnected bool
	// MaxInFlight bounds the requests of this daemon on one endpoint; 0 means no bound.
	MaxInFlight int
	// CandidateAddresses limits the choice to these addresses, if one of them may be used.
	CandidateAddresses []string
	// Exclude holds addresses that already failed this request.
	Exclude map[string]bool
}
