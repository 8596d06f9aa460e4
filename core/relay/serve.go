package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

// Serve answers a follower. It waits for changes for at most the requested time, and fails with StaleError as soon as
// the copy is too old, so that the follower turns to another daemon or to the key-value service.
func (s *Store) Serve(ctx context.Context, request Request) (Response, error) {
	f, timing, known := s.state(request.Prefix)
	if !known {
		return Response{}, errors.Trace(PrefixError{Prefix: request.Prefix})
	}
	f.mu.Lock()
	f.askedAt = time.Now()
	f.mu.Unlock()
	err := f.awaitEra(ctx, timing, request)
	var response Response
	if err == nil {
		response, err = f.serve(ctx, timing, request)
	}
	if err != nil {
		s.count(Refused)
		return Response{}, err
	}
	if request.Packs {
		response = f.packer.pack(&f.replica, request, response)
	}
	if size := response.size(); !s.takeUplink(timing, size) {
		s.count(Busy)
		return Response{}, errors.Trace(BusyError{Bytes: size})
	}
	s.count(Served)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lastFailure.IsZero() {
		response.FailureAge = max(time.Since(f.lastFailure), time.Nanosecond)
	}
	return response, nil
}

// takeUplink reports whether this daemon's link carries an answer of the given size in time.
func (s *Store) takeUplink(timing Timing, size int) bool {
	s.mu.Lock()
	if s.uplink == nil {
		var mbps float64
		if s.LinkMbps != nil {
			mbps = s.LinkMbps(s.Self)
		}
		s.uplink = newUplink(mbps, timing.pollWait)
	}
	u := s.uplink
	s.mu.Unlock()
	return u.take(size)
}

// awaitEra waits until the copy is of the era of a request, if the follower knows a later one. It then also makes this
// daemon check the era with the key-value service, whose watch may still be waiting for a lost response.
func (f *followed) awaitEra(ctx context.Context, timing Timing, request Request) error {
	// The follower gives up a request without a wait after the slack.
	timer := time.NewTimer(timing.slack / 2)
	defer timer.Stop()
	for {
		_, _, synced := f.replica.state()
		current, changed := f.replica.era()
		if !synced || request.After.Era() <= current {
			return nil
		}
		f.requestCheck(request.After.Era(), timing.pollWait)
		select {
		case <-changed:
		case <-timer.C:
			return errors.Trace(OtherEraError{Want: request.After.Era(), Got: current})
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}

func (f *followed) serve(ctx context.Context, timing Timing, request Request) (Response, error) {
	if request.Full {
		return f.page(timing, request)
	}
	deadline := time.Now().Add(min(request.Wait, timing.pollWait))
	for {
		if _, header, synced := f.replica.state(); !synced {
			return Response{}, errors.Trace(StaleError{Prefix: request.Prefix, Age: header.Age})
		}
		response, changed, err := f.replica.changesAfter(request.After)
		if err != nil {
			return Response{}, err
		}
		if response.Age > timing.maxAge() {
			return Response{}, errors.Trace(StaleError{Prefix: request.Prefix, Age: response.Age})
		}
		// A follower may be ahead after a call of its own to the key-value service. It waits for this copy to catch up.
		ready := !response.Revision.Before(request.After)
		remaining := time.Until(deadline)
		if ready && (len(response.Entries) > 0 || remaining <= 0) {
			return response, nil
		}
		if remaining <= 0 {
			return Response{}, errors.Trace(kv.OldRevisionError{Want: request.After, Got: response.Revision})
		}
		timer := time.NewTimer(min(remaining, timing.maxAge()-response.Age+time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return Response{}, errors.Trace(ctx.Err())
		}
		timer.Stop()
	}
}

// page returns the entries after a key, up to maxPageBytes.
func (f *followed) page(timing Timing, request Request) (Response, error) {
	_, _, synced := f.replica.state()
	entries, response := f.replica.all()
	if !synced || response.Age > timing.maxAge() {
		return Response{}, errors.Trace(StaleError{Prefix: request.Prefix, Age: response.Age})
	}
	slices.SortFunc(entries, func(a, b kv.Entry) int { return cmp.Compare(a.Key(), b.Key()) })
	size := 0
	for _, entry := range entries {
		if entry.Key() <= request.AfterKey {
			continue
		}
		size += sizeOf(entry)
		if size > maxPageBytes && len(response.Entries) > 0 {
			response.HasMore = true
			break
		}
		response.Entries = append(response.Entries, entry)
	}
	return response, nil
}
