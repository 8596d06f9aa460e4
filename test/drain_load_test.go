package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/openai/openai-go/v3"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// loadGenerator runs callers that send requests to the ready daemons of a deployment, and checks every response.
type loadGenerator struct {
	t         *testing.T
	d         *harness.Deployment
	balancer  *harness.Balancer
	maxTokens int
	stop      chan struct{}
	stopOnce  sync.Once
	callers   sync.WaitGroup
	sequence  atomic.Int64

	mu            sync.Mutex
	refusals      map[string]int // error responses, by code
	refusedBy     map[refusal]int
	completed     int            // generations that ended normally
	failures      []string       // descriptions of everything else that went wrong
	bookingStatus map[string]int // last status code of each booking, by key; 0 if no response arrived
	reads         int            // successful reads
}

// refusal identifies the error responses of one daemon with one code.
type refusal struct {
	daemon int
	code   string
}

// recordRefusal counts an error response. The caller must hold mu.
func (l *loadGenerator) recordRefusal(daemon int, code string) {
	l.refusals[code]++
	l.refusedBy[refusal{daemon, code}]++
}

func newLoadGenerator(t *testing.T, d *harness.Deployment, tokens int) *loadGenerator {
	l := &loadGenerator{
		t: t, d: d, balancer: d.StartBalancer(t), maxTokens: tokens, stop: make(chan struct{}),
		refusals: map[string]int{}, refusedBy: map[refusal]int{}, bookingStatus: map[string]int{},
	}
	// If the test fails early, the callers must stop before the processes do.
	t.Cleanup(l.stopCallers)
	return l
}

// startCallers starts callers of each kind. They run until finish is called.
func (l *loadGenerator) startCallers(generations, bookings, reads int) {
	for _, kind := range []struct {
		call    func()
		callers int
	}{{l.generate, generations}, {l.book, bookings}, {l.read, reads}} {
		for range kind.callers {
			l.callers.Go(func() { l.loop(kind.call) })
		}
	}
}

func (l *loadGenerator) loop(call func()) {
	for {
		select {
		case <-l.stop:
			return
		default:
			call()
		}
	}
}

func (l *loadGenerator) stopCallers() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.callers.Wait()
}

// finish stops the callers and logs the counts, which may then be read without the mutex.
func (l *loadGenerator) finish() {
	l.stopCallers()
	l.t.Logf("%d complete generations, %d bookings, %d reads, refusals %v, failures %q",
		l.completed, len(l.bookingStatus), l.reads, l.refusals, l.failures)
}

func (l *loadGenerator) generate() {
	prompt := "shift report " + strconv.FormatInt(l.sequence.Add(1), 10)
	daemon := l.balancer.Pick()
	client := l.d.Client(daemon, "large")
	stream := client.Completions.NewStreaming(l.t.Context(), openai.CompletionNewParams{
		Model:     "briefing",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		MaxTokens: openai.Int(int64(l.maxTokens)),
	})
	var ids []uint32
	spec, finish := "", ""
	for stream.Next() {
		chunk := stream.Current()
		if len(chunk.Choices) == 0 {
			continue
		}
		var next []uint32
		if err := json.Unmarshal([]byte(chunk.Choices[0].JSON.ExtraFields["token_ids"].Raw()), &next); err != nil {
			l.t.Errorf("chunk has no valid token ids: %v", err)
		}
		ids = append(ids, next...)
		spec, finish = chunk.SystemFingerprint, string(chunk.Choices[0].FinishReason)
	}
	if len(ids) > 0 {
		// Output that was received before a failure must also be a correct part of the generation.
		if err := engine.Verify(spec, harness.Completion{}.PromptTokens(prompt), ids); err != nil {
			l.t.Errorf("wrong output of %d tokens: %v", len(ids), err)
		}
	}
	l.recordGeneration(daemon, stream.Err(), finish, len(ids))
}

func (l *loadGenerator) recordGeneration(daemon int, err error, finish string, tokens int) {
	apiErr, isAPIError := errors.AsType[*openai.Error](err)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && (finish == "length" && tokens == l.maxTokens || finish == "stop"):
		l.completed++
	case isAPIError && apiErr.Code != "":
		l.recordRefusal(daemon, apiErr.Code)
	default:
		l.failures = append(l.failures, fmt.Sprintf("generation after %d tokens, finish %q: %v", tokens, finish, err))
	}
}

// book sends a booking up to 20 times under the same key, as a caller should, until the response is 200 or 502 (outcome
// unknown).
func (l *loadGenerator) book() {
	key := "booking-" + strconv.FormatInt(l.sequence.Add(1), 10)
	for range 20 {
		daemon := l.balancer.Pick()
		resp, body, err := l.d.CallService(l.t, daemon, http.MethodPost, "/deliveries", key, []byte("two drums"))
		l.mu.Lock()
		if err != nil {
			l.failures = append(l.failures, fmt.Sprintf("booking: %v", err))
			l.bookingStatus[key] = 0
		} else {
			l.bookingStatus[key] = resp.StatusCode
			if resp.StatusCode != http.StatusOK {
				l.recordRefusal(daemon, errorCode(body))
			}
		}
		l.mu.Unlock()
		if err == nil && (resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusBadGateway) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (l *loadGenerator) read() {
	daemon := l.balancer.Pick()
	resp, body, err := l.d.CallService(l.t, daemon, http.MethodGet, "/registry/drums", "", nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.failures = append(l.failures, fmt.Sprintf("read: %v", err))
	case resp.StatusCode == http.StatusOK:
		l.reads++
	default:
		l.recordRefusal(daemon, errorCode(body))
	}
}

// errorCode returns the code of a typed error, or the text of another body after "untyped: ".
func errorCode(body []byte) string {
	var response struct{ Error struct{ Code string } }
	if err := json.Unmarshal(body, &response); err != nil || response.Error.Code == "" {
		return "untyped: " + strings.TrimSpace(string(body))
	}
	return response.Error.Code
}
