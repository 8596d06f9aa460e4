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

// Instance is one entry of the generated instance list.
type Instance = standin.Instance

func stringReader(text string) io.Reader { return strings.NewReader(text) }

// rpcHandler returns the HTTP handler of a peer.
func rpcHandler(p rpc.Peer) http.Handler { return rpc.NewPeerServer(p) }

// runChanges applies new revisions at the rate CostSizes.ChangesPerMinute.
func (p *costPlatform) runChanges(ctx context.Context, c *Cost) {
	callPeriodically(ctx, c.ChangesPerMinute, func(n int) { _ = p.applySheet(ctx, c, n+1) })
}

// runListChanges changes the instance list at a rate: it gives each endpoint in turn a new incarnation.
func (p *costPlatform) runListChanges(ctx context.Context, perMinute float64) {
	callPeriodically(ctx, perMinute, func(n int) {
		row := p.instances[n%len(p.instances)]
		row.Incarnation = strconv.Itoa(n)
		_ = standin.Register(ctx, p.standInAddress, row)
	})
}

// callPeriodically invokes call with 1, 2, 3 and so on at the rate perMinute until ctx ends.
func callPeriodically(ctx context.Context, perMinute float64, call func(n int)) {
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
			call(n)
		}
	}
}

// sleep waits for the given time or until ctx ends.
func sleep(ctx context.Context, seconds float64) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	}
}
