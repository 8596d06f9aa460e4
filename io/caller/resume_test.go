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

// cursorAfter reads a stream up to its n-th event and returns the cursor of that event.
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

// Guards against a resume by cursor that skips or repeats a token, connects to an address that is not in the instance
// list, or gives a workspace access to the stream of another one.
func TestResumeByCursor(t *testing.T) {
	tests := []struct {
		name             string
		workspace        string
		attachable       bool
		incarnationKnown bool
		extra            string
		status           int
		code             string
		attaches         int
		opens            int
	}{
		{name: "running", workspace: "north", attachable: true, incarnationKnown: true, status: 200, attaches: 1},
		{name: "gone", workspace: "north", incarnationKnown: true, status: 410, code: "cursor-lost"},
		{name: "gone with ids", workspace: "north", incarnationKnown: true, extra: `,"resume_token_ids":[100,101,102,103]`,
			status: 200, opens: 1},
		{name: "not listed", workspace: "north", attachable: true, status: 410, code: "cursor-lost"},
		{name: "not listed with ids", workspace: "north", attachable: true,
			extra: `,"resume_token_ids":[100,101,102,103]`, status: 200, opens: 1},
		{name: "wrong ids", workspace: "north", incarnationKnown: true, extra: `,"resume_token_ids":[100,101,102,104]`,
			status: 400, code: "resume-mismatch"},
		{name: "other workspace", workspace: "south", attachable: true, incarnationKnown: true, status: 403,
			code: "cursor-foreign-workspace"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			first := f.post(t, "north", "", fmt.Sprintf(streamedBody, ""))
			cursor := cursorAfter(t, first.Body, 4)
			_, _ = io.Copy(io.Discard, first.Body)
			f.engines[0].attachable, f.incarnationKnown = tt.attachable, tt.incarnationKnown
			opens := f.engines[0].opens + f.engines[1].opens
			response := f.post(t, tt.workspace, cursor, fmt.Sprintf(streamedBody, tt.extra))
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, response.StatusCode, string(body))
			require.Equal(t, tt.attaches, f.engines[0].attaches)
			require.Equal(t, tt.opens, f.engines[0].opens+f.engines[1].opens-opens)
			if tt.status != 200 {
				require.Contains(t, string(body), `"code":"`+tt.code+`"`)
				return
			}
			require.Equal(t, totalTokens-4, strings.Count(string(body), `"token_ids"`))
			require.Contains(t, string(body), `"token_ids":[104]`)
			require.True(t, strings.HasSuffix(string(body), "data: [DONE]\n\n"))
		})
	}
}

// Guards against a caller that waits too long for an engine that is silent but keeps its connection open.
func TestFreezeResumesWithinTarget(t *testing.T) {
	f := newFixture(t)
	f.engines[0].breakAt, f.engines[0].hangs = 4, true
	start := time.Now()
	response := f.post(t, "north", "", fmt.Sprintf(streamedBody, ""))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Less(t, time.Since(start), 1500*time.Millisecond)
	require.Equal(t, totalTokens, strings.Count(string(body), `"token_ids"`))
	require.Equal(t, 1, f.engines[1].opens)
	require.Equal(t, []int{1}, f.canceled())
}

// Guards against an engine that keeps working after the caller has disconnected, and against a cancellation while the
// daemon stops.
func TestDisconnectCancels(t *testing.T) {
	for _, closing := range []bool{false, true} {
		f := newFixture(t)
		f.server.Closing = func() bool { return closing }
		f.engines[0].tokenDelay = 100 * time.Millisecond
		response := f.post(t, "north", "", fmt.Sprintf(streamedBody, ""))
		cursorAfter(t, response.Body, 2)
		require.NoError(t, response.Body.Close())
		if closing {
			time.Sleep(300 * time.Millisecond)
			require.Empty(t, f.canceled())
			continue
		}
		require.Eventually(t, func() bool { return len(f.canceled()) == 1 }, 2*time.Second, 10*time.Millisecond)
		require.Equal(t, []int{1}, f.canceled())
	}
}

type unlistedError struct{ outcome failure.Outcome }

func (unlistedError) Error() string              { return "unlisted" }
func (unlistedError) Code() string               { return "unlisted" }
func (u unlistedError) Outcome() failure.Outcome { return u.outcome }

// Guards against a status or an error code that contradicts the outcome of the failure.
func TestWriteError(t *testing.T) {
	tests := []struct {
		err    error
		status int
		code   string
	}{
		{unlistedError{failure.NotRun}, 503, "unlisted"},
		{unlistedError{failure.Unknown}, 502, "outcome-unknown"},
		{unlistedError{failure.Ran}, 502, "unlisted"},
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

// Guards against unauthenticated calls to plain services, and against calls under the wrong workspace.
func TestServicesAreAuthenticated(t *testing.T) {
	f := newFixture(t)
	f.server.Services = func(c *gin.Context) { c.String(http.StatusOK, caller.WorkspaceOf(c).Name+c.Param("path")) }
	handler := f.server.Handler()
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
