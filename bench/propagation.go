package bench

import (
	"context"
	"net/http"
	"sort"
	"time"

	"radishhollow/core/config"
	"radishhollow/io/operator"
	"radishhollow/standin/platform"
)

// propagationTimeout bounds the wait for a revision that does not reach every daemon.
const propagationTimeout = 30 * time.Second

// Propagation measures the time from the acceptance of a revision until it is in force in every daemon. Exported fields
// must be set before Run.
type Propagation struct {
	Daemons    int    `json:"daemons"`
	Workspaces int    `json:"workspaces"`
	Seed       uint64 `json:"seed"`
	// PlatformDown freezes the platform's state, so that its watches deliver nothing, and takes the platform down right
	// after acceptance. The revision then spreads only through the exchange between daemons.
	PlatformDown bool `json:"platform-down"`
}

// PropagationResult is the result of one run. Times are in seconds after acceptance.
type PropagationResult struct {
	Experiment string `json:"experiment"`
	Propagation
	// Complete reports whether the revision reached every daemon within propagationTimeout (30 s).
	Complete      bool    `json:"complete"`
	MedianSeconds float64 `json:"median-s"`
	LastSeconds   float64 `json:"last-s"`
	// ByWatch, ByPoll and ByPeer are the numbers of daemons that received the revision from a watch or poll of the
	// platform, or from a peer.
	ByWatch float64 `json:"by-watch"`
	ByPoll  float64 `json:"by-poll"`
	ByPeer  float64 `json:"by-peer"`
	// DocumentBytes is the size of the configuration record in the key-value service.
	DocumentBytes int `json:"document-bytes"`
	// PeerBytes is the number of bytes per daemon that the daemons sent to each other between acceptance and the end.
	PeerBytes float64 `json:"peer-bytes-per-daemon"`
	// IdlePeerBytes is the same number over an equally long time without a change.
	IdlePeerBytes float64 `json:"idle-peer-bytes-per-daemon"`
	// KeyValueCalls is the number of key-value calls of all daemons between acceptance and the end.
	KeyValueCalls float64 `json:"key-value-calls"`
}

// Run starts a fleet without endpoints, applies one revision and polls every daemon until it is in force.
func (p Propagation) Run(ctx context.Context) (PropagationResult, error) {
	r := PropagationResult{Experiment: "config", Propagation: p}
	f := &Fleet{Sheet: GenerateSheet(1, 4, 1, p.Workspaces), Daemons: p.Daemons}
	if err := f.Start(ctx); err != nil {
		return r, err
	}
	defer func() { _ = f.Close() }()
	// Wait for the registrations and the first exchanges. The seed varies the time of the apply within the intervals of
	// the daemons.
	sleep(ctx, 2+float64(p.Seed%10)/10)
	before, err := f.counters(ctx)
	if err != nil {
		return r, err
	}
	if p.PlatformDown {
		// Without the freeze, watches would deliver the revision before the platform is down.
		if err := InjectFault(ctx, f.platform, platform.Faults{FreezeState: true}); err != nil {
			return r, err
		}
	}
	applied, err := f.daemons[0].Operator().Apply(ctx, GenerateSheet(2, 4, 1, p.Workspaces), nil)
	if err != nil {
		return r, err
	}
	accepted := time.Now()
	if p.PlatformDown {
		if err := InjectFault(ctx, f.platform, platform.Faults{Down: true, FreezeState: true}); err != nil {
			return r, err
		}
	}
	r.setTimes(f.awaitRevision(ctx, applied, accepted))
	err = r.addCounters(ctx, f, before, time.Since(accepted))
	return r, err
}

// awaitRevision polls the daemons until the applied revision is in force in all of them, or until propagationTimeout.
// For each daemon in which the revision is in force, it returns the time that this took after acceptance.
func (f *Fleet) awaitRevision(ctx context.Context, applied operator.Applied, accepted time.Time) []time.Duration {
	ctx, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	var times []time.Duration
	inForce := make([]bool, len(f.daemons))
	for len(times) < len(f.daemons) && ctx.Err() == nil {
		for i, d := range f.daemons {
			if inForce[i] {
				continue
			}
			status, err := d.Operator().Status(ctx)
			if err == nil && status.Revision >= applied.Revision {
				inForce[i] = true
				times = append(times, time.Since(accepted))
			}
		}
		time.Sleep(pollPause)
	}
	return times
}

func (r *PropagationResult) setTimes(times []time.Duration) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	r.Complete = len(times) == r.Daemons
	if len(times) > 0 {
		r.MedianSeconds, r.LastSeconds = times[len(times)/2].Seconds(), times[len(times)-1].Seconds()
	}
}

// propagationCounters holds metrics summed over all daemons.
type propagationCounters struct{ watch, poll, peer, bytes, calls float64 }

func (f *Fleet) counters(ctx context.Context) (propagationCounters, error) {
	var c propagationCounters
	for prefix, counter := range map[string]*float64{
		`radishhollow_revisions_total{class="watch"}`:    &c.watch,
		`radishhollow_revisions_total{class="poll"}`:     &c.poll,
		`radishhollow_revisions_total{class="peer"}`:     &c.peer,
		`radishhollow_control_bytes_total{class="sent"}`: &c.bytes,
		`radishhollow_key_value_calls_total`:             &c.calls,
	} {
		value, err := f.Metric(ctx, prefix)
		if err != nil {
			return c, err
		}
		*counter = value
	}
	return c, nil
}

// addCounters adds the increase of the counters since before. For comparison, it also measures the bytes of an idle
// period after the change, scaled to the same length.
func (r *PropagationResult) addCounters(ctx context.Context, f *Fleet, before propagationCounters, elapsed time.Duration) error {
	after, err := f.counters(ctx)
	if err != nil {
		return err
	}
	sleep(ctx, max(elapsed, 2*time.Second).Seconds())
	idle, err := f.counters(ctx)
	if err != nil {
		return err
	}
	n := float64(r.Daemons)
	r.ByWatch, r.ByPoll, r.ByPeer = after.watch-before.watch, after.poll-before.poll, after.peer-before.peer
	r.PeerBytes, r.KeyValueCalls = (after.bytes-before.bytes)/n, after.calls-before.calls
	r.IdlePeerBytes = (idle.bytes - after.bytes) / n * elapsed.Seconds() / max(elapsed, 2*time.Second).Seconds()
	if r.PlatformDown {
		return nil
	}
	record, err := controlCall(ctx, http.MethodGet, "http://"+f.platform+"/kv/"+config.Key, nil)
	r.DocumentBytes = len(record)
	return err
}
