package engine_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"radishhollow/core/failure"
	"radishhollow/core/generation"
	"radishhollow/core/route"
	"radishhollow/io/engine"
)

func serve(t *testing.T, handler http.HandlerFunc) (*engine.Client, string) {
	server := httptest.NewServer(handler)
	client := &engine.Client{HTTP: engine.NewHTTPClient(engine.DefaultDialTimeout)}
	t.Cleanup(func() {
		client.HTTP.CloseIdleConnections()
		server.Close()
		goleak.VerifyNone(t)
	})
	return client, strings.TrimPrefix(server.URL, "http://")
}

func chunk(attempt, offset int, finish string) string {
	return fmt.Sprintf(`data: {"id":"g","system_fingerprint":"m@1","attempt":%d,"offset":%d,`+
		`"choices":[{"index":0,"text":" w7","token_ids":[7],"finish_reason":%s}]}`+"\n\n", attempt, offset, finish)
}

// Guards against a stream that is decoded differently from the wire format, and against a truncated stream that appears
// to end normally.
func TestClientStreams(t *testing.T) {
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			_, _ = io.WriteString(w, chunk(1, 0, "null")+chunk(1, 1, `"length"`)+"data: [DONE]\n\n")
		case r.URL.String() == "/v1/streams/g?attempt=2&offset=1":
			_, _ = io.WriteString(w, chunk(2, 1, "null"))
		case r.URL.Query().Get("attempt") == "1":
			w.WriteHeader(http.StatusConflict)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	stream, err := client.Open(t.Context(), address, generation.Start{Generation: "g", Attempt: 1})
	require.NoError(t, err)
	first, err := stream.Next(t.Context())
	require.NoError(t, err)
	spec := generation.NewSpec("m", "1", "", "")
	require.Equal(t, generation.NewChunk("g", 1, spec, 0, []uint32{7}, " w7", generation.NotFinished), first)
	last, err := stream.Next(t.Context())
	require.NoError(t, err)
	require.Equal(t, generation.FinishLength, last.Finish())
	_, err = stream.Next(t.Context())
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, stream.Close())

	truncated, err := client.Attach(t.Context(), address, "g", 2, 1)
	require.NoError(t, err)
	_, err = truncated.Next(t.Context())
	require.NoError(t, err)
	_, err = truncated.Next(t.Context())
	require.ErrorAs(t, err, &engine.StreamError{})
	require.NoError(t, truncated.Close())

	_, err = client.Attach(t.Context(), address, "g", 1, 1)
	require.ErrorAs(t, err, &generation.StaleAttemptError{})
	_, err = client.Attach(t.Context(), address, "g", 3, 1)
	require.ErrorAs(t, err, &engine.UnknownStreamError{})
	require.ErrorAs(t, client.Cancel(t.Context(), address, "g", 1), &generation.StaleAttemptError{})
}

// Guards against a request that may have run being reported as not run, and vice versa.
func TestClientOutcomes(t *testing.T) {
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/v1/completions":
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/tokenize":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			panic(http.ErrAbortHandler)
		}
	})
	_, err := client.Open(t.Context(), address, generation.Start{})
	require.ErrorAs(t, err, &engine.RefusedError{})
	require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
	_, err = client.Tokenize(t.Context(), address, engine.TokenizeInput{})
	require.ErrorAs(t, err, &engine.StatusError{})
	require.Equal(t, failure.Unknown, failure.Of(err).Outcome())
	_, err = client.Load(t.Context(), address)
	require.ErrorAs(t, err, &engine.ConnectionError{})
	require.Equal(t, failure.Unknown, failure.Of(err).Outcome())
	_, err = client.Load(t.Context(), "127.0.0.1:1")
	require.ErrorAs(t, err, &engine.ConnectError{})
	require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
}

// Guards against a Close that blocks on an unresponsive engine.
func TestStreamCloseDoesNotWaitForEngine(t *testing.T) {
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	stream, err := client.Open(t.Context(), address, generation.Start{})
	require.NoError(t, err)
	start := time.Now()
	require.NoError(t, stream.Close())
	require.Less(t, time.Since(start), time.Second)
}

// Guards against an order's refusal that is not reported, and against fields that are lost when a response is decoded.
func TestClientCalls(t *testing.T) {
	client, address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		switch r.URL.String() {
		case "/v1/orders":
			w.WriteHeader(http.StatusConflict)
			_, _ = io.WriteString(w, `{"error":{"code":"stale-fence","fence":9}}`)
		case "/v1/cache-events?after=4":
			_, _ = io.WriteString(w, `{"events":[{"sequence":5,"kind":"stored","block":"ab"}],"next":5}`)
		case "/tokenize":
			_, _ = fmt.Fprintf(w, `{"tokens":[%d],"count":1}`, len(body))
		default:
			_, _ = io.WriteString(w, `{"incarnation":"i","state":"ready","token-gap-ms":1.5,"models":[{"name":"m",`+
				`"version":"1","adapters":[{"name":"a","version":"2"}]}]}`)
		}
	})
	err := client.Order(t.Context(), address, engine.Order{Kind: "unload", FencingToken: 3})
	require.Equal(t, engine.StaleFencingTokenError{Endpoint: address, SentToken: 3, MaxToken: 9}, err)
	events, next, err := client.CacheEvents(t.Context(), address, 4)
	require.NoError(t, err)
	require.Equal(t, []route.CacheEvent{{Sequence: 5, Kind: route.CacheStored, Block: 0xab}}, events)
	require.EqualValues(t, 5, next)
	ids, err := client.Tokenize(t.Context(), address, engine.TokenizeInput{Model: "m", Prompt: "x"})
	require.NoError(t, err)
	require.Equal(t, []uint32{uint32(len(`{"model":"m","prompt":"x"}`))}, ids)
	report, err := client.Load(t.Context(), address)
	require.NoError(t, err)
	require.Equal(t, []string{"m@1", "m@1+a@2"}, report.Specs)
	require.Equal(t, 1500*time.Microsecond, report.TokenGap)
}

// Guards against the transport retrying an attach, whose second copy the engine would refuse as stale.
func TestAttachIsSentOnce(t *testing.T) {
	var requests atomic.Int32
	client, address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, chunk(2, 0, `"stop"`)+"data: [DONE]\n\n")
	})
	stream, err := client.Attach(t.Context(), address, "g", 2, 0)
	require.NoError(t, err)
	_, err = stream.Next(t.Context())
	require.NoError(t, err)
	require.NoError(t, stream.Close())
	_, err = client.Attach(t.Context(), address, "g", 3, 0)
	require.ErrorAs(t, err, &engine.ConnectionError{})
	require.EqualValues(t, 2, requests.Load())
}

// Guards against a silent stream that is kept although the request that replaces it was sent: the Driver is not told.
func TestOpenReportsThatTheRequestIsSent(t *testing.T) {
	sent := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case sent <- struct{}{}:
			t.Error("the request has arrived and was not reported as sent")
		default:
		}
	}))
	defer server.Close()
	c := &engine.Client{HTTP: engine.NewHTTPClient(engine.DefaultDialTimeout)}
	stream, err := c.Open(t.Context(), server.Listener.Addr().String(), generation.Start{Sent: func() { sent <- struct{}{} }})
	if err == nil {
		_ = stream.Close()
	}
	require.Len(t, sent, 1)
}
