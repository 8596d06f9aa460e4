package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/route"
	"radishhollow/io/service"
)

// rawEndpoint writes the bytes that answer returns for the nth request of a connection, and counts connections.
type rawEndpoint struct {
	answer func(n int, id string) string
	conns  atomic.Int32
}

func (e *rawEndpoint) start(t *testing.T) (address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.conns.Add(1)
			go e.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (e *rawEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(conn, e.answer(n, r.Header.Get("Id"))); err != nil {
			return
		}
	}
}

func ownAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Length: 2\r\n\r\nok", id)
}

func refusal(status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 3\r\n\r\nno\n", status, header)
}

// staleRefusals are refusals of the first request of a connection, which an endpoint writes once more.
var staleRefusals = map[string]string{
	"503 without an id":                 refusal(503, "Not-Run: 1\r\n"),
	"429 without an id":                 refusal(429, "Not-Run: 1\r\n"),
	"400 without an id":                 refusal(400, "Not-Run: 1\r\n"),
	"421 without an id":                 refusal(421, ""),
	"421 without an id but with a mark": refusal(421, "Not-Run: 1\r\n"),
	"503 with the old id":               refusal(503, "Id: 1\r\nNot-Run: 1\r\n"),
	"421 with the old id":               refusal(421, "Id: 1\r\n"),
	"503 with an empty id":              refusal(503, "Id: \r\nNot-Run: 1\r\n"),
	"503 without an id, cut":            "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 90\r\n\r\nno",
	"503 without a mark":                refusal(503, ""),
	"429 without a mark":                refusal(429, ""),
}

func newCheckedClient(t *testing.T) *service.Client {
	t.Helper()
	client := service.New(time.Second, time.Minute)
	client.Check = testFormat().Check
	t.Cleanup(func() { _ = client.Close() })
	return client
}

func requestWithID(id string) booking.Request {
	return booking.Request{Method: http.MethodPost, Path: "/", Header: http.Header{"Id": {id}}, ReuseConnection: true}
}

// Guards against an earlier refusal that a faulty endpoint writes once more on a kept connection, and that passes for the
// answer to the next request: its caller was told that a request did not run that did, or the request ran twice.
func TestStaleRefusalIsNoProof(t *testing.T) {
	for name, stale := range staleRefusals {
		for where, second := range map[string]func(id string) string{
			"before the answer":     func(id string) string { return stale + ownAnswer(id) },
			"in place of an answer": func(string) string { return stale },
		} {
			t.Run(name+" "+where, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(n int, id string) string {
					if n == 2 {
						return second(id)
					}
					return ownAnswer(id)
				}}
				address := endpoint.start(t)
				marked := 0
				send := testFormat().SendFunc(newCheckedClient(t), func(_ booking.Request, _ route.Choice, status int, _ error) {
					if status == http.StatusMisdirectedRequest {
						marked++
					}
				})
				for n, id := range []string{"1", "2", "3"} {
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					response, err := send(ctx, route.NewChoice(address, "i", "a", nil), requestWithID(id))
					cancel()
					outcome := testFormat().Classify(booking.Call{Kind: config.KindOnce}, response, err)
					if n == 1 {
						assert.Equal(t, failure.Unknown, outcome, "status %d, %v", response.Status, err)
						continue
					}
					require.Equal(t, failure.Ran, outcome, "%v", err)
					require.Equal(t, "ok", string(response.Body))
				}
				require.Zero(t, marked, "a refusal of another request must not mark the endpoint as dead")
				require.EqualValues(t, 2, endpoint.conns.Load(), "the connection must not be used again")
			})
		}
	}
}

// Guards against a refusal that is not believed although it can only belong to the request: with its id, or without an
// id as the first answer of a new connection, as an endpoint sends it that has not read the request.
func TestOwnRefusalIsBelieved(t *testing.T) {
	for name, tt := range map[string]struct {
		requests int
		refusal  func(id string) string
	}{
		"new connection, without an id":      {0, func(string) string { return refusal(503, "Not-Run: 1\r\n") }},
		"new connection, 421 without an id":  {0, func(string) string { return refusal(421, "") }},
		"new connection, own id":             {0, func(id string) string { return refusal(429, "Id: "+id+"\r\nNot-Run: 1\r\n") }},
		"kept connection, own id":            {2, func(id string) string { return refusal(503, "Id: "+id+"\r\nNot-Run: 1\r\n") }},
		"kept connection, 421 with own id":   {2, func(id string) string { return refusal(421, "Id: "+id+"\r\n") }},
		"kept connection, after interim 103": {2, func(id string) string { return "HTTP/1.1 103 Y\r\n\r\n" + refusal(503, "Id: "+id+"\r\nNot-Run: 1\r\n") }},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := &rawEndpoint{answer: func(n int, id string) string {
				if n > tt.requests {
					return tt.refusal(id)
				}
				return ownAnswer(id)
			}}
			address := endpoint.start(t)
			send := testFormat().SendFunc(newCheckedClient(t), func(booking.Request, route.Choice, int, error) {})
			for n := range tt.requests + 1 {
				response, err := send(t.Context(), route.NewChoice(address, "i", "a", nil), requestWithID(fmt.Sprint(n)))
				require.NoError(t, err)
				outcome := testFormat().Classify(booking.Call{Kind: config.KindOnce}, response, err)
				require.Equal(t, n == tt.requests, outcome == failure.NotRun)
			}
			require.EqualValues(t, 1, endpoint.conns.Load())
		})
	}
}
