package version

import (
	"context"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

const (
	// confirmWait is the time for which a stream waits for news that confirm the list, where the key-value service doesn't know
	// its version. It covers an exchange with a peer.
	confirmWait = 2 * time.Second
	// confirmInterval is the interval at which a stream that waits looks for such news.
	confirmInterval = 20 * time.Millisecond
)

// Find returns the version that has begun a stream, or fails with UnknownError. The stream's ID is empty if its caller does
// not name it.
func (r *Register) Find(ctx context.Context, stream Stream) (string, error) {
	r.init()
	if err := r.awaitHistory(ctx, stream.Service); err != nil {
		return "", errors.Trace(UnknownError{Service: stream.Service, Reason: ReasonUnavailable, Cause: err})
	}
	if version, found := r.findHere(stream); found {
		return version, nil
	}
	version, err := r.findStored(ctx, stream)
	if err == nil {
		return version, nil
	}
	if version, found := r.awaitConfirmed(ctx, stream); found {
		return version, nil
	}
	return "", err
}

// findStored finds the version of a stream in the key-value service. For a stream without a name, it reads the history, which
// names a version before the first event of its first stream is passed on.
func (r *Register) findStored(ctx context.Context, stream Stream) (string, error) {
	if stream.ID == "" {
		unnamed := errors.Trace(UnknownError{Service: stream.Service, Reason: ReasonUnnamed})
		if !r.isUniformService(stream.Service) {
			return "", unnamed
		}
		if _, err := r.read(ctx, stream.Service); err != nil || !r.isUniformService(stream.Service) {
			return "", unnamed
		}
		r.count(Base)
		return r.base(stream.Service), nil
	}
	entry, err := r.Store.Get(ctx, stream.key())
	if err == nil {
		var version string
		if version, err = decodeRecord(entry); err == nil {
			r.count(Recorded)
			return version, nil
		}
	}
	if _, missing := errors.AsType[kv.NotFoundError](err); !missing {
		return "", errors.Trace(UnknownError{Service: stream.Service, Reason: ReasonUnavailable, Cause: err})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(stream.Service)
	if !r.isSettled(s) {
		return "", errors.Trace(UnknownError{Service: stream.Service, Reason: ReasonUnsettled})
	}
	r.count(Base)
	return s.report.Base, nil
}

// awaitConfirmed waits for news that confirm the list of a service that has one version, as far as this daemon knows.
func (r *Register) awaitConfirmed(ctx context.Context, stream Stream) (version string, found bool) {
	if !r.isUniformService(stream.Service) {
		return "", false
	}
	if r.Refresh != nil {
		r.Refresh()
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for r.isUniformService(stream.Service) {
		if version, found = r.findHere(stream); found {
			return version, true
		}
		if clock.Sleep(ctx, confirmInterval) != nil {
			break
		}
	}
	return "", false
}

func (r *Register) base(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(name).report.Base
}

// findHere returns the version of a stream where this daemon knows it without a call.
func (r *Register) findHere(stream Stream) (version string, found bool) {
	confirmed := r.Confirmed == nil || r.Confirmed()
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.service(stream.Service); r.isUniform(s) && confirmed {
		r.count(Uniform)
		return s.report.Base, true
	}
	own, found := r.kept[stream.key()]
	if found {
		r.count(Own)
	}
	return own.version, found
}

// awaitHistory returns once the history of a service is known, or fails if it cannot be read.
func (r *Register) awaitHistory(ctx context.Context, name string) error {
	r.mu.Lock()
	s := r.service(name)
	known, reading := s.known, s.reading
	if !known && reading == nil {
		s.reading = make(chan struct{})
	}
	r.mu.Unlock()
	switch {
	case known:
		return nil
	case reading == nil:
		_, err := r.read(ctx, name)
		r.mu.Lock()
		defer r.mu.Unlock()
		close(s.reading)
		if s.reading = nil; s.known {
			return nil
		}
		return err
	}
	select {
	case <-reading:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.known {
		return errors.Trace(kv.UnavailableError{Call: "get"})
	}
	return nil
}

// read reads the history of a service, or creates it with the version that most endpoints have. If another daemon writes at the
// same time, it returns the other's history with a ConflictError.
func (r *Register) read(ctx context.Context, name string) (Report, error) {
	key := historyKey(name)
	entry, err := r.Store.Get(ctx, key)
	if err == nil {
		report, malformed := decodeHistory(entry, name)
		if malformed == nil {
			r.adopt(report)
			return report, nil
		}
		return r.create(ctx, name, entry.Revision())
	}
	if _, missing := errors.AsType[kv.NotFoundError](err); !missing {
		return Report{}, errors.Trace(err)
	}
	return r.create(ctx, name, kv.Revision{})
}

// create writes a history for a service that has none. A history that this daemon has read is written anew: the key-value
// service may have come back from a copy without it.
func (r *Register) create(ctx context.Context, name string, ifRevision kv.Revision) (Report, error) {
	r.mu.Lock()
	s := r.service(name)
	history := s.report.History
	if !s.known {
		history = History{Service: name, Era: r.Era()}
		most := 0
		for version, endpoints := range r.Listed(name) {
			if endpoints > most || endpoints == most && version < history.Base {
				history.Base, most = version, endpoints
			}
		}
		if most == 0 {
			r.mu.Unlock()
			return Report{}, errors.Trace(UnknownError{Service: name, Reason: ReasonUnlisted})
		}
	}
	r.mu.Unlock()
	return r.write(ctx, history, ifRevision)
}

// adopt takes a history that was read from the key-value service.
func (r *Register) adopt(report Report) {
	r.mu.Lock()
	news := r.apply(report)
	if s := r.service(report.Service); !s.report.Revision.After(report.Revision) {
		s.checked = true
	}
	r.mu.Unlock()
	if news && r.OnNews != nil {
		r.OnNews(report)
	}
}

// write writes a history if its revision is ifRevision.
func (r *Register) write(ctx context.Context, history History, ifRevision kv.Revision) (Report, error) {
	value, err := encode(history)
	if err != nil {
		return Report{}, err
	}
	revision, err := r.Store.Put(ctx, historyKey(history.Service), value, ifRevision, kv.Lease{})
	if _, conflict := errors.AsType[kv.ConflictError](err); conflict {
		entry, readErr := r.Store.Get(ctx, historyKey(history.Service))
		if readErr != nil {
			return Report{}, errors.Trace(readErr)
		}
		report, readErr := decodeHistory(entry, history.Service)
		if readErr != nil {
			return Report{}, readErr
		}
		r.adopt(report)
		return report, errors.Trace(err)
	}
	if err != nil {
		return Report{}, errors.Trace(err)
	}
	report := Report{History: history, Revision: revision}
	r.adopt(report)
	return report, nil
}
