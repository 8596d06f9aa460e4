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

// Request is one generation request.
type Request struct {
	// Model is the name of the requested model. If it is empty, Generate requests the deployment's model.
	Model  string
	Prompt string
	// TokenPrompt, if not nil, is the prompt as token ids and is sent instead of Prompt.
	TokenPrompt []uint32
	MaxTokens   int
	Chat        bool
	// NonStreaming requests a single JSON body instead of an event stream.
	NonStreaming bool
	// Cursor is sent as Last-Event-ID if it is not empty. Received holds the output token ids of earlier responses.
	// SendReceived sends them as resume_token_ids.
	Cursor       string
	Received     []uint32
	SendReceived bool
	// Workspace is the name of the workspace. If it is empty, Generate uses "large".
	Workspace string
	// Address, if not empty, is used instead of the daemon's address, for example the address of a Link.
	Address string
}

// PromptTokens returns the token ids of the prompt, as the stand-in engine tokenizes it.
func (r Request) PromptTokens() []uint32 {
	if r.TokenPrompt != nil {
		return r.TokenPrompt
	}
	if r.Chat {
		return engine.TokenizeChat([]engine.Message{{Role: "user", Content: r.Prompt}})
	}
	return engine.Tokenize(r.Prompt)
}

// Response is what a caller has received. Tokens holds only the ids of this response, not those in Request.Received.
type Response struct {
	Status int
	// ErrorCode is the code of the typed error in the body or in an event.
	ErrorCode string
	ID        string
	// Spec identifies the weights, such as briefing@1 or briefing@1+crew@3 with an adapter.
	Spec         string
	Text         string
	Tokens       []uint32
	FinishReason string
	// PromptTokens and CompletionTokens are the token counts in the usage.
	PromptTokens     int
	CompletionTokens int
	// Complete is set when [DONE] or a complete body without an error has arrived.
	Complete bool
	// Cursor is the id of the last event that had one.
	Cursor string
	// CursorOffsets holds the offset in the cursor of each event.
	CursorOffsets []int
	// ReceivedCounts holds the number of token ids received up to and including each event, with those in
	// Request.Received. A correct cursor has this offset.
	ReceivedCounts []int
	// LongestWait is the longest wait for an event, including the first one.
	LongestWait time.Duration
	// Err is the error of the connection, or else of decoding the last event or body.
	Err error
}

// Stream is a response that is read by a background goroutine.
type Stream struct {
	request     Request
	cancel      context.CancelFunc
	done        chan struct{}
	mu          sync.Mutex
	response    Response
	lastEventAt time.Time
	// eventID and eventData are the fields of the event that is being received.
	eventID, eventData string
}

// CursorKey returns the key that signs the daemons' cursors.
func CursorKey() []byte {
	key, _ := hex.DecodeString(cursorKey)
	return key
}

// Generate sends a generation request to daemon i and returns without waiting for the response. The request is canceled
// after one minute and at the end of the test.
func (d *Deployment) Generate(t testing.TB, i int, request Request) *Stream {
	t.Helper()
	if request.Model == "" {
		request.Model = d.modelName()
	}
	if request.Workspace == "" {
		request.Workspace = "large"
	}
	if request.Address == "" {
		request.Address = d.settings[i].Listen
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	s := &Stream{request: request, cancel: cancel, done: make(chan struct{}), lastEventAt: time.Now()}
	req, err := request.newHTTPRequest(ctx)
	require.NoError(t, err)
	go s.run(req)
	t.Cleanup(func() { s.Close() })
	return s
}

func (r Request) newHTTPRequest(ctx context.Context) (*http.Request, error) {
	body := map[string]any{"model": r.Model, "max_tokens": r.MaxTokens, "stream": !r.NonStreaming}
	path := "/v1/completions"
	if r.Chat {
		path = "/v1/chat/completions"
		body["messages"] = []engine.Message{{Role: "user", Content: r.Prompt}}
	} else {
		body["prompt"] = r.Prompt
	}
	if r.TokenPrompt != nil {
		body["prompt"] = r.TokenPrompt
	}
	if !r.NonStreaming {
		body["stream_options"] = map[string]any{"include_usage": true}
	}
	if r.SendReceived {
		body["resume_token_ids"] = r.Received
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey(r.Workspace))
	if r.Cursor != "" {
		req.Header.Set("Last-Event-ID", r.Cursor)
	}
	return req, nil
}

// run sends the request and reads the response to its end.
func (s *Stream) run(req *http.Request) {
	defer close(s.done)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.update(func(r *Response) { r.Err = err })
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.update(func(r *Response) { r.Status = resp.StatusCode })
	if s.request.NonStreaming || resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		s.update(func(r *Response) {
			if r.Err = err; err == nil {
				s.handleEvent(r, "", string(data))
				r.Complete = r.ErrorCode == ""
			}
		})
		return
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		s.update(func(r *Response) { s.handleLine(r, scanner.Text()) })
	}
	if err := scanner.Err(); err != nil {
		s.update(func(r *Response) { r.Err = err })
	}
}

func (s *Stream) update(change func(*Response)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.response)
}

// handleLine handles one line of an event stream. An event takes effect only at the blank line that ends it.
func (s *Stream) handleLine(r *Response, line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		s.eventID = id
	}
	if data, ok := strings.CutPrefix(line, "data: "); ok {
		s.eventData = data
	}
	if line == "" {
		s.handleEvent(r, s.eventID, s.eventData)
		s.eventID, s.eventData = "", ""
	}
}

func (s *Stream) handleEvent(r *Response, id, data string) {
	now := time.Now()
	r.LongestWait, s.lastEventAt = max(r.LongestWait, now.Sub(s.lastEventAt)), now
	if id != "" {
		r.Cursor = id
	}
	if data == "[DONE]" {
		r.Complete = true
		return
	}
	r.addData([]byte(data), s.request)
}

func (r *Response) addData(data []byte, request Request) {
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
		r.ErrorCode = body.Error.Code
		return
	}
	r.ID, r.Spec = body.ID, body.Spec
	for _, c := range body.Choices {
		r.Text += c.Text + c.Delta.Content + c.Message.Content
		r.Tokens = append(r.Tokens, c.Tokens...)
		r.FinishReason = c.Finish
	}
	r.PromptTokens, r.CompletionTokens = body.Usage.Prompt, body.Usage.Completion
	if request.NonStreaming {
		return
	}
	if cursor, err := request.decodeCursor(r.Cursor); err == nil {
		r.CursorOffsets = append(r.CursorOffsets, cursor.Offset)
		r.ReceivedCounts = append(r.ReceivedCounts, len(request.Received)+len(r.Tokens))
	}
}

func (r Request) decodeCursor(cursor string) (generation.Cursor, error) {
	codec := generation.CursorCodec{Keys: [][]byte{CursorKey()}}
	return codec.Decode(cursor, r.Workspace, generation.PromptDigest(r.PromptTokens()), time.Now())
}

// Response returns what has been received so far.
func (s *Stream) Response() Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.response
}

// LastCursor returns the decoded cursor of the response and fails the test if there is no valid one.
func (s *Stream) LastCursor(t testing.TB) generation.Cursor {
	t.Helper()
	cursor, err := s.request.decodeCursor(s.Response().Cursor)
	require.NoError(t, err)
	return cursor
}

// AwaitTokens waits until at least n token ids have arrived and returns the response so far. It fails the test after
// 20 s or if the response ends first.
func (s *Stream) AwaitTokens(t testing.TB, n int) Response {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if r := s.Response(); len(r.Tokens) >= n {
			return r
		}
		if s.ended() {
			break
		}
	}
	r := s.Response()
	require.GreaterOrEqualf(t, len(r.Tokens), n, "status %d, code %q, error %v", r.Status, r.ErrorCode, r.Err)
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

// Wait waits for the end of the response and fails the test after 30 s.
func (s *Stream) Wait(t testing.TB) Response {
	t.Helper()
	select {
	case <-s.done:
	case <-time.After(30 * time.Second):
		require.Fail(t, "the response has not ended")
	}
	return s.Response()
}

// Close closes the caller's connection and waits until the response is no longer read. It may be called repeatedly.
func (s *Stream) Close() {
	s.cancel()
	<-s.done
}

// WaitBound is the guaranteed upper limit of a caller's wait for the next token or a typed error.
const WaitBound = 3 * time.Second

// RequireComplete waits for the end and requires a complete and correct response. It checks the token ids, cursor
// offsets, text, finish reason, usage and wait times.
func (s *Stream) RequireComplete(t testing.TB, spec string) Response {
	t.Helper()
	r, prompt := s.Wait(t), s.request.PromptTokens()
	require.NoError(t, r.Err)
	require.Empty(t, r.ErrorCode)
	require.True(t, r.Complete, "the response is incomplete")
	require.Equal(t, "length", r.FinishReason)
	require.Equal(t, spec, r.Spec)
	output := append(append([]uint32{}, s.request.Received...), r.Tokens...)
	require.Len(t, output, s.request.MaxTokens)
	require.NoError(t, engine.Verify(spec, prompt, output))
	var text strings.Builder
	for _, id := range r.Tokens {
		text.WriteString(engine.TokenText(id))
	}
	require.Equal(t, text.String(), r.Text)
	require.Equal(t, []int{len(prompt), s.request.MaxTokens}, []int{r.PromptTokens, r.CompletionTokens})
	if !s.request.NonStreaming {
		require.NotEmpty(t, r.CursorOffsets)
		require.Equal(t, r.ReceivedCounts, r.CursorOffsets)
		require.Less(t, r.LongestWait, WaitBound)
	}
	return r
}
