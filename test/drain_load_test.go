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

// load runs callers against the ready daemons of a deployment and checks every answer.
type load struct {
	t        *testing.T
	d        *harness.Deployment
	balance  *harness.Chooser
	tokens   int
	stop     chan struct{}
	once     sync.Once
	group    sync.WaitGroup
	sequence atomic.Int64

	mu sync.Mutex
	// refused counts the refusals by code, whole the complete generations and broken what else failed.
	refused map[string]int
	whole   int
	broken  []string
	booked  map[string]int
	reads   int
}

func newLoad(t *testing.T, d *harness.Deployment, tokens int) *load {
	l := &load{
		t: t, d: d, balance: d.Balance(t), tokens: tokens, stop: make(chan struct{}),
		refused: map[string]int{}, booked: map[string]int{},
	}
	// After a failure the callers must not outlive the processes.
	t.Cleanup(l.halt)
	return l
}

// run starts callers; end waits until their last requests are complete.
func (l *load) run(generations, bookings, reads int) {
	for _, kind := range []struct {
		call    func()
		callers int
	}{{l.generate, generations}, {l.book, bookings}, {l.read, reads}} {
		for range kind.callers {
			l.group.Go(func() { l.loop(kind.call) })
		}
	}
}

func (l *load) loop(call func()) {
	for {
		select {
		case <-l.stop:
			return
		default:
			call()
		}
	}
}

func (l *load) halt() {
	l.once.Do(func() { close(l.stop) })
	l.group.Wait()
}

func (l *load) end() {
	l.halt()
	l.t.Logf("%d generations whole, %d bookings, %d reads, refused %v, broken %q",
		l.whole, len(l.booked), l.reads, l.refused, l.broken)
}

func (l *load) generate() {
	prompt := "shift report " + strconv.FormatInt(l.sequence.Add(1), 10)
	client := l.d.Client(l.balance.Pick(), "large")
	stream := client.Completions.NewStreaming(l.t.Context(), openai.CompletionNewParams{
		Model:     "briefing",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
		MaxTokens: openai.Int(int64(l.tokens)),
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
			l.t.Errorf("chunk without token ids: %v", err)
		}
		ids = append(ids, next...)
		spec, finish = chunk.SystemFingerprint, string(chunk.Choices[0].FinishReason)
	}
	if len(ids) > 0 {
		// Also what came before a failure must be one generation.
		if err := engine.Verify(spec, harness.Answer{}.Prompt(prompt), ids); err != nil {
			l.t.Errorf("wrong answer of %d tokens: %v", len(ids), err)
		}
	}
	l.count(stream.Err(), finish, len(ids))
}

func (l *load) count(err error, finish string, tokens int) {
	refusal, typed := errors.AsType[*openai.Error](err)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && (finish == "length" && tokens == l.tokens || finish == "stop"):
		l.whole++
	case typed && refusal.Code != "":
		l.refused[refusal.Code]++
	default:
		l.broken = append(l.broken, fmt.Sprintf("generation after %d tokens, finish %q: %v", tokens, finish, err))
	}
}

// book repeats a booking under its key until its outcome is known, as a caller should.
func (l *load) book() {
	key := "booking-" + strconv.FormatInt(l.sequence.Add(1), 10)
	for range 20 {
		resp, body, err := l.d.Call(l.t, l.balance.Pick(), http.MethodPost, "/deliveries", key, []byte("two drums"))
		l.mu.Lock()
		if err != nil {
			l.broken = append(l.broken, fmt.Sprintf("booking: %v", err))
			l.booked[key] = 0
		} else {
			l.booked[key] = resp.StatusCode
			if resp.StatusCode != http.StatusOK {
				l.refused[codeOf(body)]++
			}
		}
		l.mu.Unlock()
		if err == nil && (resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusBadGateway) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (l *load) read() {
	resp, body, err := l.d.Call(l.t, l.balance.Pick(), http.MethodGet, "/registry/drums", "", nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.broken = append(l.broken, fmt.Sprintf("read: %v", err))
	case resp.StatusCode == http.StatusOK:
		l.reads++
	default:
		l.refused[codeOf(body)]++
	}
}

func codeOf(body []byte) string {
	var answer struct{ Error struct{ Code string } }
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error.Code == "" {
		return "untyped: " + strings.TrimSpace(string(body))
	}
	return answer.Error.Code
}
