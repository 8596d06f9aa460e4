// Package route chooses the endpoint of each attempt from reported load and marks.
package route

// Kind tells what an endpoint is.
type Kind string

// Kinds of endpoints in the platform's instance list.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// Need describes the endpoint that one attempt is looking for.
type Need struct {
	Kind Kind
	// Name is the model's or the service's name.
	Name    string
	Adapter string
	// Spec is the exact spec that the endpoint must report, or empty for any version of the model.
	Spec string
	// Wanted is the spec that the configuration wants. Endpoints that have it and a free slot go first, so that those with
	// an older version can finish their streams before they are changed.
	Wanted    string
	Workspace string
	// Prompt is the prompt of the attempt for prefix matching; nil for services.
	Prompt []uint32
	// MaxTokens bounds the output that is still to come.
	MaxTokens int
	// Resume marks a generation that has lost its engine.
	Resume bool
	// Exclude holds addresses that already failed this request.
	Exclude map[string]bool
}
