package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/io/caller"
)

const streamedBody = `{"model":"m","prompt":"hello","stream":true%s}`

// cursorAfter reads a stream up to the n-th event and returns that event's cursor.
func cursorAfter(t *testing.T, body io.Reader, n int) string {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if n--; n == 0 {
				return id
			}
		}
	}
	require.Fail(t, "stream ended early")
	return ""
}

// Guards against a resume by cursor that misses or repeats a token, that reaches an address which is not in the
// instance list, or that crosses workspaces.
func TestResumeByCursor(t *testing.T) {
	tests := []struct {
		name      string
		workspace string
		holds     bool
		known     bool
		extra     string
		status    int
		code      string
		attaches  int
		opens     int
	}{
		{name: "running", workspace: "north", holds: true, known: true, status: 200, attaches: 1},
		{name: "gone", workspace: "north", known: true, status: 410, code: "cursor-lost"},
		{name: "gone with ids", workspace: "north", known: true, extra: `,"resume_token_ids":[100,101,102,103]`,
			status: 200, opens: 1},
		{name: "not listed", workspace: "north", holds: true, status: 410, code: "cursor-lost"},
		{name: "not listed with ids", workspace: "north", holds: true,
			extra: `,"resume_token_ids":[100,101,102,103]`, status: 200, opens: 1},
		{name: "wrong ids", workspace: "north", known: true, extra: `,"resume_token_ids":[100,101,102,104]`,
			status: 400, code: "resume-mismatch"},
		{name: "other workspace", workspace: "south", holds: true, known: true, status: 403,
			code: "cursor-foreign-workspace"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSetup(t)
			first := s.post(t, "north", "", fmt.Sprintf(streamedBody, ""))
			cursor := cursorAfter(t, first.Body, 4)
			_, _ = io.Copy(io.Discard, first.Body)
			s.engines[0].holds, s.known = tt.holds, tt.known
			opens := s.engines[0].opens + s.engines[1].opens
			response := s.post(t, tt.workspace, cursor, fmt.Sprintf(streamedBody, tt.extra))
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, response.StatusCode, string(body))
			require.Equal(t, tt.attaches, s.engines[0].attaches)
			require.Equal(t, tt.opens, s.engines[0].opens+s.engines[1].opens-opens)
			if tt.status != 200 {
				require.Contains(t, string(body), `"code":"`+tt.code+`"`)
				return
			}
			require.Equal(t, total-4, strings.Count(string(body), `"token_ids"`))
			require.Contains(t, string(body), `"token_ids":[104]`)
			require.True(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"))
		})
	}
}

// Guards against a caller that waits for an engine whose connection is open but silent.
func TestFreezeResumesWithinTarget(t *testing.T) {
	s := newSetup(t)
	s.engines[0].dieAt, s.engines[0].freezes = 4, true
	began := time.Now()
	response := s.post(t, "north", "", fmt.Sprintf(streamedBody, ""))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Less(t, time.Since(began), 1500*time.Millisecond)
	require.Equal(t, total, strings.Count(string(body), `"token_ids"`))
	require.Equal(t, 1, s.engines[1].opens)
	require.Equal(t, []int{1}, s.canceled())
}

// Guards against an engine that works on for a caller that has left, and against a cancel while the daemon stops.
func TestDisconnectCancels(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		s := newSetup(t)
		s.server.Stopping = func() bool { return stopping }
		s.engines[0].slow = 100 * time.Millisecond
		response := s.post(t, "north", "", fmt.Sprintf(streamedBody, ""))
		cursorAfter(t, response.Body, 2)
		require.NoError(t, response.Body.Close())
		if stopping {
			time.Sleep(300 * time.Millisecond)
			require.Empty(t, s.canceled())
			continue
		}
		require.Eventually(t, func() bool { return len(s.canceled()) == 1 }, 2*time.Second, 10*time.Millisecond)
		require.Equal(t, []int{1}, s.canceled())
	}
}

type unlisted struct{ outcome failure.Outcome }

func (unlisted) Error() string              { return "unlisted" }
func (unlisted) Code() string               { return "unlisted" }
func (u unlisted) Outcome() failure.Outcome { return u.outcome }

// Guards against a status or a code that claims another outcome than the failure has.
func TestWriteError(t *testing.T) {
	tests := []struct {
		err    error
		status int
		code   string
	}{
		{unlisted{failure.NotRun}, 503, "unlisted"},
		{unlisted{failure.Unknown}, 502, "outcome-unknown"},
		{unlisted{failure.Ran}, 502, "unlisted"},
		{io.EOF, 502, "outcome-unknown"},
		{generation.EngineLostError{Result: failure.NotRun}, 503, "engine-lost"},
		{generation.EngineLostError{Result: failure.Unknown}, 502, "engine-lost"},
		{generation.SpecLostError{}, 502, "spec-lost"},
	}
	for _, tt := range tests {
		recorder := httptest.NewRecorder()
		c, _ := gin.CreateTestContext(recorder)
		c.Request = httptest.NewRequest(http.MethodGet, "/", nil)
		caller.WriteError(c, tt.err)
		require.Equal(t, tt.status, recorder.Code)
		require.Contains(t, recorder.Body.String(), `"code":"`+tt.code+`"`)
		require.Contains(t, recorder.Body.String(), `"outcome":"`+failure.Of(tt.err).Outcome().String()+`"`)
		require.Equal(t, tt.status == 503, recorder.Header().Get("Retry-After") != "")
	}
}

// Guards against plain-service calls without authentication, and against the wrong workspace there.
func TestServicesAreAuthenticated(t *testing.T) {
	s := newSetup(t)
	s.server.Services = func(c *gin.Context) { c.String(http.StatusOK, caller.WorkspaceOf(c).Name+c.Param("path")) }
	handler := s.server.Handler()
	for key, want := range map[string]string{"": "", "south-key": "south/v1/seats"} {
		request := httptest.NewRequest(http.MethodPatch, "/services/booking/v1/seats", nil)
		request.Header.Set("Authorization", "Bearer "+key)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if want == "" {
			require.Equal(t, http.StatusUnauthorized, recorder.Code)
			continue
		}
		require.Equal(t, want, recorder.Body.String())
	}
}
