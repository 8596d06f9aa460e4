package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/route"
	"radishhollow/io/caller"
	"radishhollow/io/engine"
	"radishhollow/io/telemetry"
)

const total = 10

func word(offset int) string { return fmt.Sprintf(" w%d", 100+offset) }

func words(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(word(i))
	}
	return b.String()
}

// fakeEngine speaks the engine's wire format for one fixed output.
type fakeEngine struct {
	mu       sync.Mutex
	dieAt    int  // the offset at which the next stream breaks; 0 for never
	freezes  bool // a stream stops at dieAt with its connection open
	holds    bool // a broken stream can be attached to
	slow     time.Duration
	spec     string
	next     string // the spec after the next loss
	opens    int
	attaches int
	prompts  [][]uint32
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	dieAt, holds, spec := f.dieAt, f.holds, f.spec
	f.mu.Unlock()
	switch {
	case r.URL.Path == "/tokenize":
		_, _ = w.Write([]byte(`{"tokens":[1,2,3],"count":3}`))
	case r.URL.Path == "/v1/completions":
		var in struct {
			Prompt    []uint32 `json:"prompt"`
			MaxTokens int      `json:"max_tokens"`
			ID        string   `json:"request_id"`
			Attempt   int      `json:"attempt"`
			Offset    int      `json:"offset"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		f.mu.Lock()
		f.opens++
		f.prompts = append(f.prompts, in.Prompt)
		f.dieAt = 0
		if dieAt > 0 && f.next != "" {
			f.spec = f.next
		}
		f.mu.Unlock()
		f.emit(w, r, spec, in.ID, in.Attempt, in.Offset, min(total, in.Offset+in.MaxTokens), dieAt)
	case holds:
		f.mu.Lock()
		f.attaches++
		f.mu.Unlock()
		attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		f.emit(w, r, spec, strings.TrimPrefix(r.URL.Path, "/v1/streams/"), attempt, offset, total, 0)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (f *fakeEngine) emit(w http.ResponseWriter, r *http.Request, spec, id string, attempt, from, to, dieAt int) {
	for i := from; i < to; i++ {
		if dieAt > 0 && i == dieAt && f.freezes {
			<-r.Context().Done()
		}
		if dieAt > 0 && i == dieAt {
			panic(http.ErrAbortHandler)
		}
		finish := "null"
		if i == to-1 {
			finish = map[bool]string{true: `"stop"`, false: `"length"`}[to == total]
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"system_fingerprint":%q,"attempt":%d,"offset":%d,"choices":[{"index":0,`+
			`"text":%q,"token_ids":[%d],"finish_reason":%s}]}`+"\n\n", id, spec, attempt, i, word(i), 100+i, finish)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(f.slow):
		case <-r.Context().Done():
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func (f *fakeEngine) serves() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spec
}

type overloaded struct{}

func (overloaded) Error() string             { return "too much work" }
func (overloaded) Code() string              { return "overloaded" }
func (overloaded) Outcome() failure.Outcome  { return failure.NotRun }
func (overloaded) RetryAfter() time.Duration { return 1500 * time.Millisecond }

type noEndpoint struct{}

func (noEndpoint) Error() string            { return "no endpoint" }
func (noEndpoint) Code() string             { return "no-endpoint" }
func (noEndpoint) Outcome() failure.Outcome { return failure.NotRun }

// setup is a caller.Server in front of two fake engines.
type setup struct {
	server  *caller.Server
	url     string
	engines [2]*fakeEngine
	mu      sync.Mutex
	gone    bool // no endpoint can be picked
	known   bool
	cancels []int
}

func newSetup(t *testing.T) *setup {
	s := &setup{known: true}
	var addresses []string
	for i := range s.engines {
		s.engines[i] = &fakeEngine{spec: "m@1"}
		e := httptest.NewServer(s.engines[i])
		t.Cleanup(e.Close)
		addresses = append(addresses, strings.TrimPrefix(e.URL, "http://"))
	}
	client := &engine.Client{HTTP: engine.NewHTTPClient(engine.DefaultDialTimeout)}
	t.Cleanup(client.HTTP.CloseIdleConnections)
	s.server = &caller.Server{
		Document: document,
		Admit: func(_ context.Context, w config.Workspace, _ int, _ bool) (func(int), error) {
			if w.Name == "busy" {
				return nil, overloaded{}
			}
			return func(int) {}, nil
		},
		Pick: func(_ context.Context, need route.Criteria) (route.Choice, error) {
			for i, a := range addresses {
				served := need.Spec == "" || need.Spec == s.engines[i].serves()
				if served && !need.Exclude[a] && !s.isGone() {
					return route.NewChoice(a, "i", "p", nil), nil
				}
			}
			return route.Choice{}, noEndpoint{}
		},
		Open: client.Open, Attach: client.Attach, Tokenize: client.Tokenize,
		Cancel: func(_, _ string, attempt int, _ time.Duration) {
			s.mu.Lock()
			s.cancels = append(s.cancels, attempt)
			s.mu.Unlock()
		},
		HasIncarnation:      func(string, string) bool { return s.known },
		Metrics:    telemetry.New(),
		CursorKeys: [][]byte{[]byte("key")},
	}
	front := httptest.NewUnstartedServer(nil)
	front.Config = s.server.NewHTTPServer()
	front.Start()
	t.Cleanup(front.Close)
	s.url = front.URL
	return s
}

func (s *setup) isGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gone
}

func (s *setup) canceled() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancels
}

func document() config.Document {
	workspace := func(name string) config.Workspace {
		sum := sha256.Sum256([]byte(name + "-key"))
		return config.Workspace{Name: name, KeyDigest: hex.EncodeToString(sum[:])}
	}
	return config.NewDocument(1, config.Fields{
		Models:     []config.Model{{Name: "m", Version: "1", Adapters: []config.Adapter{{Name: "a", Version: "1"}}}},
		Workspaces: []config.Workspace{workspace("north"), workspace("south"), workspace("busy")},
		Settings:   config.Settings{MaxWaitMS: 500},
	})
}

// post sends a streamed completion and returns the response.
func (s *setup) post(t *testing.T, workspace, cursor, body string) *http.Response {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+"/v1/completions",
		strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+workspace+"-key")
	if cursor != "" {
		request.Header.Set("Last-Event-ID", cursor)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}
