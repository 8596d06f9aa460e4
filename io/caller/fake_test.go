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

const totalTokens = 10

func tokenText(offset int) string { return fmt.Sprintf(" w%d", 100+offset) }

func outputText(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

// fakeEngine implements the engine's wire format and produces one fixed output.
type fakeEngine struct {
	mu            sync.Mutex
	breakAt       int  // the offset at which the next stream breaks; 0 means never
	hangs         bool // the stream stops at breakAt, but its connection stays open
	attachable    bool // a broken stream can be attached to
	tokenDelay    time.Duration
	spec          string
	specAfterLoss string // the spec after the next broken stream; empty means unchanged
	opens         int
	attaches      int
	prompts       [][]uint32
}

func (f *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	breakAt, attachable, spec := f.breakAt, f.attachable, f.spec
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
		f.breakAt = 0
		if breakAt > 0 && f.specAfterLoss != "" {
			f.spec = f.specAfterLoss
		}
		f.mu.Unlock()
		f.writeChunks(w, r, spec, in.ID, in.Attempt, in.Offset, min(totalTokens, in.Offset+in.MaxTokens), breakAt)
	case attachable:
		f.mu.Lock()
		f.attaches++
		f.mu.Unlock()
		attempt, _ := strconv.Atoi(r.URL.Query().Get("attempt"))
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		f.writeChunks(w, r, spec, strings.TrimPrefix(r.URL.Path, "/v1/streams/"), attempt, offset, totalTokens, 0)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (f *fakeEngine) writeChunks(
	w http.ResponseWriter, r *http.Request, spec, id string, attempt, from, to, breakAt int,
) {
	for i := from; i < to; i++ {
		if breakAt > 0 && i == breakAt && f.hangs {
			<-r.Context().Done()
		}
		if breakAt > 0 && i == breakAt {
			panic(http.ErrAbortHandler)
		}
		finish := "null"
		if i == to-1 {
			finish = map[bool]string{true: `"stop"`, false: `"length"`}[to == totalTokens]
		}
		_, _ = fmt.Fprintf(w, `data: {"id":%q,"system_fingerprint":%q,"attempt":%d,"offset":%d,"choices":[{"index":0,`+
			`"text":%q,"token_ids":[%d],"finish_reason":%s}]}`+"\n\n", id, spec, attempt, i, tokenText(i), 100+i, finish)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(f.tokenDelay):
		case <-r.Context().Done():
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func (f *fakeEngine) currentSpec() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.spec
}

type overloadedError struct{}

func (overloadedError) Error() string             { return "too many requests" }
func (overloadedError) Code() string              { return "overloaded" }
func (overloadedError) Outcome() failure.Outcome  { return failure.NotRun }
func (overloadedError) RetryAfter() time.Duration { return 1500 * time.Millisecond }

type noEndpointError struct{}

func (noEndpointError) Error() string            { return "no endpoint" }
func (noEndpointError) Code() string             { return "no-endpoint" }
func (noEndpointError) Outcome() failure.Outcome { return failure.NotRun }

// fixture is a caller.Server with two fake engines.
type fixture struct {
	server           *caller.Server
	url              string
	engines          [2]*fakeEngine
	mu               sync.Mutex
	noEndpoints      bool // Pick fails
	incarnationKnown bool
	canceledAttempts []int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{incarnationKnown: true}
	var addresses []string
	for i := range f.engines {
		f.engines[i] = &fakeEngine{spec: "m@1"}
		e := httptest.NewServer(f.engines[i])
		t.Cleanup(e.Close)
		addresses = append(addresses, strings.TrimPrefix(e.URL, "http://"))
	}
	client := &engine.Client{HTTP: engine.NewHTTPClient(engine.DefaultDialTimeout)}
	t.Cleanup(client.HTTP.CloseIdleConnections)
	f.server = &caller.Server{
		Document: document,
		Admit: func(_ context.Context, w config.Workspace, _ int, _ bool) (func(int), error) {
			if w.Name == "busy" {
				return nil, overloadedError{}
			}
			return func(int) {}, nil
		},
		Pick: func(_ context.Context, criteria route.Criteria) (route.Choice, error) {
			for i, a := range addresses {
				served := criteria.Spec == "" || criteria.Spec == f.engines[i].currentSpec()
				if served && !criteria.Exclude[a] && !f.hasNoEndpoints() {
					return route.NewChoice(a, "i", "p", nil), nil
				}
			}
			return route.Choice{}, noEndpointError{}
		},
		Open: client.Open, Attach: client.Attach, Tokenize: client.Tokenize,
		Cancel: func(_, _ string, attempt int, _ time.Duration) {
			f.mu.Lock()
			f.canceledAttempts = append(f.canceledAttempts, attempt)
			f.mu.Unlock()
		},
		HasIncarnation: func(string, string) bool { return f.incarnationKnown },
		Metrics:        telemetry.New(),
		CursorKeys:     [][]byte{[]byte("key")},
	}
	httpServer := httptest.NewUnstartedServer(nil)
	httpServer.Config = f.server.NewHTTPServer()
	httpServer.Start()
	t.Cleanup(httpServer.Close)
	f.url = httpServer.URL
	return f
}

func (f *fixture) hasNoEndpoints() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noEndpoints
}

func (f *fixture) canceled() []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.canceledAttempts
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

// post sends a completion request with the workspace's key and an optional cursor, and returns the response.
func (f *fixture) post(t *testing.T, workspace, cursor, body string) *http.Response {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/v1/completions",
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
