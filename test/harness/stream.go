package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/standin/engine"
)

// Ask is one generation request of a test's caller.
type Ask struct {
	// Model is the deployment's model where empty.
	Model  string
	Prompt string
	// IDs, where set, are sent in place of the text prompt.
	IDs       []uint32
	MaxTokens int
	Chat      bool
	// Whole asks for one body instead of a stream.
	Whole bool
	// Cursor is sent as Last-Event-ID. Held are the ids received before; SendHeld sends them as resume_token_ids.
	Cursor    string
	Held      []uint32
	SendHeld  bool
	Workspace string
	// Address replaces the daemon's address, for example by that of a Link.
	Address string
}

// PromptIDs returns the token ids that the stand-in engine gives the prompt.
func (a Ask) PromptIDs() []uint32 {
	if a.IDs != nil {
		return a.IDs
	}
	if a.Chat {
		return engine.TokenizeChat([]engine.Message{{Role: "user", Content: a.Prompt}})
	}
	return engine.Tokenize(a.Prompt)
}

// Reply is what a caller has received. Tokens holds only the ids of this response, not those of Ask.Held.
type Reply struct {
	Status int
	// Code is the code of the typed error in the body or in an event.
	Code   string
	ID     string
	Spec   string
	Text   string
	Tokens []uint32
	Finish string
	Prompt int
	// Completion is the usage's number of output ids.
	Completion int
	// Ended tells whether [DONE] or a whole body arrived.
	Ended  bool
	Cursor string
	// Offsets holds the number of ids that each event's cursor states.
	Offsets []int
	// Counts holds the number of ids received by the time of each event.
	Counts []int
	// Longest is the longest wait between two events.
	Longest time.Duration
	Err     error
}

// Stream is a response that is read in the background.
type Stream struct {
	ask    Ask
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	reply  Reply
	last   time.Time
	// id and data are the lines of an event that is not complete yet.
	id, data string
}

// CursorKey returns the key that signs the daemons' cursors.
func CursorKey() []byte {
	key, _ := hex.DecodeString(cursorKey)
	return key
}

// Ask sends a request to daemon i and returns at once.
func (d *Deployment) Ask(t testing.TB, i int, ask Ask) *Stream {
	t.Helper()
	if ask.Model == "" {
		ask.Model = d.modelName()
	}
	if ask.Workspace == "" {
		ask.Workspace = "large"
	}
	if ask.Address == "" {
		ask.Address = d.settings[i].Listen
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	s := &Stream{ask: ask, cancel: cancel, done: make(chan struct{}), last: time.Now()}
	req, err := ask.request(ctx)
	require.NoError(t, err)
	go s.run(req)
	t.Cleanup(func() { s.Close() })
	return s
}

func (a Ask) request(ctx context.Context) (*http.Request, error) {
	body := map[string]any{"model": a.Model, "max_tokens": a.MaxTokens, "stream": !a.Whole}
	path := "/v1/completions"
	if a.Chat {
		path = "/v1/chat/completions"
		body["messages"] = []engine.Message{{Role: "user", Content: a.Prompt}}
	} else {
		body["prompt"] = a.Prompt
	}
	if a.IDs != nil {
		body["prompt"] = a.IDs
	}
	if !a.Whole {
		body["stream_options"] = map[string]any{"include_usage": true}
	}
	if a.SendHeld {
		body["resume_token_ids"] = a.Held
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey(a.Workspace))
	if a.Cursor != "" {
		req.Header.Set("Last-Event-ID", a.Cursor)
	}
	return req, nil
}

// run reads the response to its end.
func (s *Stream) run(req *http.Request) {
	defer close(s.done)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.set(func(r *Reply) { r.Err = err })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.set(func(r *Reply) { r.Status = resp.StatusCode })
	if s.ask.Whole || resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		s.set(func(r *Reply) {
			if r.Err = err; err == nil {
				s.event(r, "", string(data))
				r.Ended = r.Code == ""
			}
		})
		return
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		s.set(func(r *Reply) { s.line(r, scanner.Text()) })
	}
	if err := scanner.Err(); err != nil {
		s.set(func(r *Reply) { r.Err = err })
	}
}

func (s *Stream) set(change func(*Reply)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.reply)
}

// line handles one line of an event stream. An event counts only after its blank line.
func (s *Stream) line(r *Reply, line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		s.id = id
	}
	if data, ok := strings.CutPrefix(line, "data: "); ok {
		s.data = data
	}
	if line == "" {
		s.event(r, s.id, s.data)
		s.id, s.data = "", ""
	}
}

func (s *Stream) event(r *Reply, id, data string) {
	now := time.Now()
	r.Longest, s.last = max(r.Longest, now.Sub(s.last)), now
	if id != "" {
		r.Cursor = id
	}
	if data == "[DONE]" {
		r.Ended = true
		return
	}
	r.add([]byte(data), s.ask)
}

func (r *Reply) add(data []byte, ask Ask) {
	var body struct {
		ID      string
		Spec    string `json:"system_fingerprint"`
		Choices []struct {
			Text           string
			Delta, Message struct{ Content string }
			Tokens         []uint32 `json:"token_ids"`
			Finish         string   `json:"finish_reason"`
		}
		Usage struct {
			Prompt     int `json:"prompt_tokens"`
			Completion int `json:"completion_tokens"`
		}
		Error struct{ Code string }
	}
	if r.Err = json.Unmarshal(data, &body); r.Err != nil || body.Error.Code != "" {
		r.Code = body.Error.Code
		return
	}
	r.ID, r.Spec = body.ID, body.Spec
	for _, c := range body.Choices {
		r.Text += c.Text + c.Delta.Content + c.Message.Content
		r.Tokens = append(r.Tokens, c.Tokens...)
		r.Finish = c.Finish
	}
	r.Prompt, r.Completion = body.Usage.Prompt, body.Usage.Completion
	if ask.Whole {
		return
	}
	if cursor, err := ask.decode(r.Cursor); err == nil {
		r.Offsets = append(r.Offsets, cursor.Offset)
		r.Counts = append(r.Counts, len(ask.Held)+len(r.Tokens))
	}
}

func (a Ask) decode(cursor string) (generation.Cursor, error) {
	codec := generation.CursorCodec{Keys: [][]byte{CursorKey()}}
	return codec.Decode(cursor, a.Workspace, generation.PromptDigest(a.PromptIDs()), time.Now())
}

// Reply returns what has arrived so far.
func (s *Stream) Reply() Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply
}

// Position returns the cursor of the last event.
func (s *Stream) Position(t testing.TB) generation.Cursor {
	t.Helper()
	cursor, err := s.ask.decode(s.Reply().Cursor)
	require.NoError(t, err)
	return cursor
}

// Await waits until n ids have arrived.
func (s *Stream) Await(t testing.TB, n int) Reply {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if r := s.Reply(); len(r.Tokens) >= n {
			return r
		}
		if s.ended() {
			break
		}
	}
	r := s.Reply()
	require.GreaterOrEqualf(t, len(r.Tokens), n, "status %d, code %q, error %v", r.Status, r.Code, r.Err)
	return r
}

func (s *Stream) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the response.
func (s *Stream) Wait(t testing.TB) Reply {
	t.Helper()
	select {
	case <-s.done:
	case <-time.After(30 * time.Second):
		require.Fail(t, "the answer does not end")
	}
	return s.Reply()
}

// Close closes the caller's connection.
func (s *Stream) Close() {
	s.cancel()
	<-s.done
}

// WaitBound is the stated bound on a caller's wait for the next token or a typed error.
const WaitBound = 3 * time.Second

// RequireWhole waits for the end and checks the answer whole: ids, offsets, text, finish reason, usage and waits.
func (s *Stream) RequireWhole(t testing.TB, spec string) Reply {
	t.Helper()
	r, prompt := s.Wait(t), s.ask.PromptIDs()
	require.NoError(t, r.Err)
	require.Empty(t, r.Code)
	require.True(t, r.Ended, "no end mark")
	require.Equal(t, "length", r.Finish)
	require.Equal(t, spec, r.Spec)
	output := append(append([]uint32{}, s.ask.Held...), r.Tokens...)
	require.Len(t, output, s.ask.MaxTokens)
	require.NoError(t, engine.Verify(spec, prompt, output))
	var text strings.Builder
	for _, id := range r.Tokens {
		text.WriteString(engine.TokenText(id))
	}
	require.Equal(t, text.String(), r.Text)
	require.Equal(t, []int{len(prompt), s.ask.MaxTokens}, []int{r.Prompt, r.Completion})
	if !s.ask.Whole {
		require.NotEmpty(t, r.Offsets)
		require.Equal(t, r.Counts, r.Offsets)
		require.Less(t, r.Longest, WaitBound)
	}
	return r
}
