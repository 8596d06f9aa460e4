package connlimit

import (
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// caller is a connection whose reads return the given parts, one at a time, and then wait for the connection to be aborted.
type caller struct {
	*Conn
	parts   chan string
	aborted chan struct{}
	refusal string
	// received is the number of bytes that the kernel has received.
	received int64
}

func newCaller(l *Limiter) *caller {
	c := &caller{parts: make(chan string, 8), aborted: make(chan struct{})}
	c.Conn = &Conn{
		Limiter: l, Limits: Limits{Bytes: 64 << 10, Lines: 1024}, OnHead: func(bool) {},
		Refuse: func(response string) { c.refusal = response }, Abort: func() { close(c.aborted) },
		Received: func() int64 { return c.received },
		Source: func(p []byte) (int, error) {
			select {
			case part := <-c.parts:
				return copy(p, part), nil
			case <-c.aborted:
				return 0, io.ErrClosedPipe
			}
		},
	}
	return c
}

// receive makes the kernel receive text, which is read later.
func (c *caller) receive(text string) { c.received += int64(len(text)) }

// open opens n connections, one each millisecond.
func open(t *testing.T, l *Limiter, n int) []*caller {
	t.Helper()
	var list []*caller
	for range n {
		c := newCaller(l)
		require.True(t, c.Open())
		list = append(list, c)
		time.Sleep(time.Millisecond)
	}
	return list
}

func (c *caller) isAborted() bool {
	select {
	case <-c.aborted:
		return true
	default:
		return false
	}
}

const ordinaryHead = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against a limit that closes a connection with a whole request or the newest ones, and against one that closes a
// connection on which something has arrived.
func TestEvictionOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var causes []string
		l := &Limiter{Memory: 10 * connBytes, Count: func(cause string) { causes = append(causes, cause) }}
		served, idle := newCaller(l), newCaller(l)
		for _, c := range []*caller{served, idle} {
			require.True(t, c.Open())
			c.parts <- ordinaryHead
			_, err := c.Read(make([]byte, 4096))
			require.NoError(t, err)
			c.Serving()
		}
		idle.Idle()
		old := open(t, l, 7)
		time.Sleep(2 * youngFor)
		old[0].received = 1
		young := open(t, l, 6)
		require.False(t, served.isAborted())
		require.False(t, idle.isAborted())
		require.False(t, old[0].isAborted(), "something has arrived")
		require.True(t, old[1].isAborted())
		time.Sleep(time.Millisecond)
		young = append(young, open(t, l, 3)...)
		require.True(t, idle.isAborted(), "a connection between requests goes before a young one")
		require.False(t, served.isAborted())
		require.False(t, young[len(young)-1].isAborted())
		require.Contains(t, causes, CauseEvictedHead)
		require.Contains(t, causes, CauseEvictedIdle)
		for _, c := range append(append(old, young...), served, idle) {
			c.Close()
		}
		require.Zero(t, l.Used())
		require.Zero(t, l.Conns())
		time.Sleep(2 * calmAfter)
	})
}

// Guards against an ordinary request that waits behind requests whose bodies do not arrive, and against these being closed
// before they have had time.
func TestReserveForOrdinaryRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Memory: 20 * (connBytes + requestBytes)}
		var stalled []*caller
		read := func(c *caller, head string) error {
			c.parts <- head
			_, err := c.Read(make([]byte, 4096))
			return err
		}
		for range 12 {
			c := newCaller(l)
			require.True(t, c.Open())
			require.NoError(t, read(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"))
			stalled = append(stalled, c)
		}
		began := time.Now()
		ordinary := newCaller(l)
		require.True(t, ordinary.Open())
		require.NoError(t, read(ordinary, ordinaryHead))
		require.Zero(t, time.Since(began))
		require.False(t, stalled[0].isAborted())
		late := newCaller(l)
		require.True(t, late.Open())
		require.NoError(t, read(late, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"))
		require.Less(t, time.Since(began), memoryWait)
	})
}

// send sends a head in parts that fit a read, and reads it for net/http.
func (c *caller) send(head string) error {
	for part := range slices.Chunk([]byte(head), 4096) {
		c.parts <- string(part)
	}
	_, err := c.Read(make([]byte, 4096))
	return err
}

// Guards against whole requests with large heads, or sent before a response, which hold what is left for ordinary ones while they
// wait for memory.
func TestLargeRequestsDoNotWait(t *testing.T) {
	for name, head := range map[string]string{
		"many lines":  "GET / HTTP/1.1\r\n" + strings.Repeat("Usual: b\r\n", 200) + "\r\n",
		"a long line": "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 10<<10) + "\r\n\r\n",
		"pipelined":   ordinaryHead + ordinaryHead,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Limiter{Memory: 4 << 20}
				began, refused := time.Now(), 0
				for range 200 {
					c := newCaller(l)
					require.True(t, c.Open())
					if c.send(head) != nil {
						require.Contains(t, c.refusal, "HTTP/1.1 503 ")
						refused++
						c.Close()
					}
				}
				require.NotZero(t, refused)
				ordinary := newCaller(l)
				require.True(t, ordinary.Open())
				require.NoError(t, ordinary.send(ordinaryHead))
				require.Zero(t, time.Since(began))
				time.Sleep(2 * calmAfter)
			})
		})
	}
}

// Guards against whole heads that wait for memory and leave none for new connections, which then get no answer.
func TestWaitingHeadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Memory: 100 * (connBytes + requestBytes)}
		began := time.Now()
		var (
			group   sync.WaitGroup
			refused atomic.Int64
		)
		for range 300 {
			c := newCaller(l)
			require.True(t, c.Open())
			require.Zero(t, time.Since(began))
			group.Go(func() {
				if c.send(ordinaryHead) != nil {
					refused.Add(1)
					c.Close()
				}
			})
			synctest.Wait()
		}
		group.Wait()
		require.NotZero(t, refused.Load())
		require.LessOrEqual(t, time.Since(began), memoryWait+memoryPollInterval)
		require.Zero(t, l.waiting)
		time.Sleep(2 * calmAfter)
	})
}

// Guards against an overload of callers' requests in which peers and readiness checks get no answer.
func TestShareOfInternalConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Memory: 100 * (connBytes + requestBytes)}
		refused := 0
		for range 200 {
			c := newCaller(l)
			require.True(t, c.Open())
			if c.send(ordinaryHead) != nil {
				refused++
				c.Close()
			}
		}
		require.NotZero(t, refused)
		began := time.Now()
		peer := newCaller(l)
		peer.Internal = true
		require.True(t, peer.Open())
		require.NoError(t, peer.send(ordinaryHead))
		require.Zero(t, time.Since(began))
		peer.Close()
		require.Zero(t, l.internal)
		time.Sleep(2 * calmAfter)
	})
}

// Guards against an overload in which the connection of a peer or a readiness check is closed in the moment between its start and
// its first bytes, and against internal connections without a request that take more than their share.
func TestYoungInternalConnectionsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &Limiter{Memory: 100 * connBytes}
		var checks []*caller
		for range 4 {
			check := newCaller(l)
			check.Internal = true
			require.True(t, check.Open())
			checks = append(checks, check)
		}
		open(t, l, 300)
		for _, check := range checks {
			require.False(t, check.isAborted())
			require.NoError(t, check.send(ordinaryHead))
			check.Close()
		}
		require.Zero(t, l.internal)
		began := time.Now()
		for range 200 {
			more := newCaller(l)
			more.Internal = true
			require.True(t, more.Open())
		}
		require.Zero(t, time.Since(began), "they must leave room for each other")
		time.Sleep(time.Millisecond)
		kept := open(t, l, 90)
		for _, c := range kept {
			require.False(t, c.isAborted())
		}
		time.Sleep(2 * calmAfter)
	})
}

// Guards against callers that go on sending before the response, whose unread bytes take memory that is not counted.
func TestCallersThatSendAhead(t *testing.T) {
	l := &Limiter{Memory: 4 << 20}
	var list []*caller
	kept := 0
	for range 40 {
		c := newCaller(l)
		list = append(list, c)
		require.True(t, c.Open())
		require.NoError(t, c.send(ordinaryHead))
		c.Serving()
		c.parts <- "GET"
		if _, err := c.Read(make([]byte, 1)); err != nil {
			require.True(t, c.isAborted())
			c.Close()
			continue
		}
		kept++
	}
	require.NotZero(t, kept)
	require.LessOrEqual(t, int64(kept*windowBytes), l.limit(largePercent))
	for _, c := range list {
		c.Close()
	}
	require.Zero(t, l.Used())
}

// Guards against a head whose beginning net/http has read with the chunked body before, and that counts without it.
func TestHeadAfterChunkedBody(t *testing.T) {
	l := &Limiter{}
	c := newCaller(l)
	require.True(t, c.Open())
	c.parts <- "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	buffer := make([]byte, 4096)
	_, err := c.Read(buffer)
	require.NoError(t, err)
	c.Serving()
	c.parts <- "0\r\n\r\nGET / HTTP/1.1\r\n"
	_, err = c.Read(buffer)
	require.NoError(t, err)
	c.Idle()
	c.parts <- "a:\r\n"
	close(c.aborted)
	_, _ = c.Read(buffer)
	require.GreaterOrEqual(t, l.Used(), int64(connBytes+chunkedBytes))
	c.Close()
}

// Guards against a head over a limit that is passed on or refused without a response.
func TestRefusedHeads(t *testing.T) {
	for cause, head := range map[string]string{
		CauseLines:    "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1100),
		CauseHeadSize: "GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 70<<10),
	} {
		var causes []string
		l := &Limiter{Count: func(cause string) { causes = append(causes, cause) }}
		c := newCaller(l)
		c.parts = make(chan string, 64)
		require.True(t, c.Open())
		for len(head) > 0 {
			n := min(len(head), 4096)
			c.parts <- head[:n]
			head = head[n:]
		}
		_, err := c.Read(make([]byte, 4096))
		require.ErrorAs(t, err, &RefusedError{})
		require.Contains(t, c.refusal, "HTTP/1.1 431 ")
		require.Equal(t, []string{cause}, causes)
	}
}

// Guards against a state of refusals that is logged for each refusal or never ends.
func TestChangesOfState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			mu      sync.Mutex
			changes []bool
		)
		l := &Limiter{OnChange: func(refusing bool, _ string) {
			mu.Lock()
			defer mu.Unlock()
			changes = append(changes, refusing)
		}}
		requireChanges := func(want ...bool) {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, want, changes)
		}
		for range 20 {
			l.record(CauseLines)
			time.Sleep(calmAfter / 2)
		}
		requireChanges(true)
		time.Sleep(2 * calmAfter)
		requireChanges(true, false)
	})
}
