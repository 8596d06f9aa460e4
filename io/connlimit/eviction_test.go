package connlimit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against connections that only await their callers' ends and keep memory from requests, and peers and readiness checks
// from an answer.
func TestLingeringConnectionsAreClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Memory: 100 * (connBytes + requestBytes)}
		var lingering []*caller
		for {
			c := newCaller(l)
			require.True(t, c.Open())
			if c.send(ordinaryHead) != nil {
				c.Close()
				break
			}
			c.received = 1 << 20
			lingering = append(lingering, c)
		}
		require.NotZero(t, l.requests)
		for _, c := range lingering {
			c.Linger()
			time.Sleep(time.Millisecond)
		}
		require.Zero(t, l.requests)
		began := time.Now()
		silent := newCaller(l)
		require.True(t, silent.Open())
		for range len(lingering) - 2 {
			c := newCaller(l)
			require.True(t, c.Open())
			require.NoError(t, c.send(ordinaryHead))
		}
		require.Zero(t, time.Since(began))
		require.True(t, lingering[0].isAborted())
		require.False(t, silent.isAborted())
		time.Sleep(2 * calmAfter)
	})
}

// Guards against a connection that is closed although its request was received, in the moment between the read and its account
// of the request.
func TestRequestsAreKeptFromTheirReadOn(t *testing.T) {
	for _, used := range []bool{false, true} {
		for _, moment := range []string{"read", "head begun"} {
			t.Run(fmt.Sprintf("%s, used %t", moment, used), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := &Limiter{Memory: 20 * (connBytes + requestBytes)}
					c := newCaller(l)
					require.True(t, c.Open())
					if used {
						c.receive(ordinaryHead)
						require.NoError(t, c.send(ordinaryHead))
						c.Serving()
						c.Idle()
					}
					time.Sleep(2 * youngFor)
					c.receive(ordinaryHead)
					source := c.Source
					c.Source = func(p []byte) (int, error) {
						n, err := source(p)
						if moment == "read" {
							open(t, l, 100)
						}
						return n, err
					}
					if moment != "read" {
						c.OnHead = func(bool) { open(t, l, 100) }
					}
					require.NoError(t, c.send(ordinaryHead))
					require.False(t, c.isAborted())
					c.Close()
					time.Sleep(2 * calmAfter)
				})
			})
		}
	}
}

// Guards against a request that was received with the one before, and is lost when its connection is closed as idle.
func TestIdleConnectionsWithBufferedRequestsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Memory: 20 * (connBytes + requestBytes + windowBytes)}
		c := newCaller(l)
		require.True(t, c.Open())
		c.receive(ordinaryHead + ordinaryHead)
		c.parts <- ordinaryHead + ordinaryHead
		n, err := c.Read(make([]byte, 4096))
		require.NoError(t, err)
		require.Len(t, ordinaryHead, n)
		c.Serving()
		c.Idle()
		open(t, l, 300)
		require.False(t, c.isAborted())
		_, err = c.Read(make([]byte, 4096))
		require.NoError(t, err)
		c.Close()
		time.Sleep(2 * calmAfter)
	})
}

// Guards against callers that keep their connections from being closed with bytes that are no request.
func TestConnectionsWithoutARequestAreClosedAfterTheirRead(t *testing.T) {
	for name, text := range map[string]string{"part of a head": "GET / HTTP/1.1\r\n", "empty line": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Limiter{Memory: 20 * (connBytes + requestBytes)}
				c := newCaller(l)
				require.True(t, c.Open())
				c.receive(text)
				c.parts <- text
				ended := make(chan error)
				go func() {
					for {
						if _, err := c.Read(make([]byte, 4096)); err != nil {
							ended <- err
							return
						}
					}
				}()
				time.Sleep(2 * youngFor)
				open(t, l, 100)
				require.True(t, c.isAborted())
				require.Error(t, <-ended)
				time.Sleep(2 * calmAfter)
			})
		})
	}
}
