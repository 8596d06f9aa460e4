package bench

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"radishhollow/io/peer/rpc"
	"radishhollow/standin"
)

// Instance is one row of the generated instance list.
type Instance = standin.Instance

func stringReader(text string) io.Reader { return strings.NewReader(text) }

func rpcHandler(p rpc.Peer) http.Handler { return rpc.NewPeerServer(p) }

// runChanges applies new revisions at the wanted rate.
func (p *costPlatform) runChanges(ctx context.Context, c *Cost) {
	every(ctx, c.ChangesPerMinute, func(n int) { _ = p.apply(ctx, c, n+1) })
}

// runListChanges gives one endpoint after the other a new incarnation.
func (p *costPlatform) runListChanges(ctx context.Context, perMinute float64) {
	every(ctx, perMinute, func(n int) {
		row := p.rows[n%len(p.rows)]
		row.Incarnation = strconv.Itoa(n)
		_ = standin.Register(ctx, p.store, row)
	})
}

// every calls do at a rate until ctx ends.
func every(ctx context.Context, perMinute float64, do func(n int)) {
	if perMinute <= 0 {
		return
	}
	ticker := time.NewTicker(time.Duration(float64(time.Minute) / perMinute))
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(n)
		}
	}
}

func pause(ctx context.Context, seconds float64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	}
}
