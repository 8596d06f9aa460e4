package forward

import (
	"context"
	"net/http"
	"strconv"

	"radishhollow/core/route"
)

// resumedRunPriority is the priority of a resumed run of a service whose streams are equally urgent. It ranks above that of
// new runs, which is 5; this package sends no priority for those.
const resumedRunPriority = 2

// kvCopy is a copy of a run's KV cache at another engine, the holder. The zero value means no copy.
type kvCopy struct {
	holder route.Choice
	// reference identifies the copy in Format.ResumeFrom, which is sent to the holder. For the copy that the run's engine
	// sends by itself, it is the holder's address and the run's id. For a moved copy, it is the address of the run's
	// engine, which may be lost by then, and the copy's handle.
	reference string
}

// setCopyHeaders sets the headers of an attempt at the engine with this address: the copy to resume from, if the engine
// holds it, the engine that is to receive the copy of the new run, and the priority of a resumed run. It returns the
// copy of the new run, or the zero value if there is none.
func (h *streamHandler) setCopyHeaders(
	ctx context.Context, address string, offset int, header http.Header,
) (nextCopy kvCopy) {
	f, q := h.server.Format, h.request
	if priority := h.priority(); priority != "" {
		header.Set(f.Priority, priority)
	}
	if h.resumeCopy.holder.Address() == address {
		header.Set(f.ResumeFrom, h.resumeCopy.reference)
		header.Set(f.LastEventID, strconv.Itoa(offset))
	}
	if q.service.Engine == nil || !q.service.Engine.ContinuousKVCopies || !q.route.Resumable {
		return kvCopy{}
	}
	// Also for a resumed run, only the run's own engine is excluded and only that engine's place is avoided. The engines
	// that were lost before and their places are not.
	holder, err := h.pickCopyHolder(ctx, h.choice, "")
	if err != nil {
		return kvCopy{}
	}
	header.Set(f.CopyHolderAddress, holder.Address())
	return kvCopy{holder: holder, reference: holder.Address() + "/" + q.id}
}

// priority returns the priority of the next attempt at its engine, or an empty string for the engine's default.
func (h *streamHandler) priority() string {
	// An engine of this request was lost or is silent, so the attempt is a resume.
	resumed := h.lostPlace != "" || h.silent != nil
	q := h.request
	switch order := q.document.Urgency(q.service.Name); {
	case order.IsContended():
		// A caller that has connected again is in the middle of its answer, too.
		return strconv.Itoa(order.Class(q.workspace.Priority, q.route.Priority, resumed || q.lastEventID > 0))
	case resumed:
		return strconv.Itoa(resumedRunPriority)
	}
	return ""
}

// pickCopyHolder chooses an engine for a copy of the KV cache of a run at source. The engine is neither source nor the
// one at avoidAddress, which may be empty, and is outside the place of source if possible.
func (h *streamHandler) pickCopyHolder(
	ctx context.Context, source route.Choice, avoidAddress string,
) (route.Choice, error) {
	criteria := h.server.criteria(h.request)
	criteria.Exclude, criteria.AvoidPlace, criteria.LocalPlace = map[string]bool{
		source.Address(): true, avoidAddress: true,
	}, source.Place(), ""
	criteria.PromptTokens, criteria.KVCopyHolder = 0, true
	// Only an engine of the same version can go on from the copy.
	criteria.Version, criteria.HasVersion = source.Version(), true
	if !h.locatesPrompt() {
		// With the key, a daemon to which the caller connects again can find the copy.
		criteria.AffinityKey = ""
	}
	holder, err := h.server.Pick(ctx, criteria)
	if err == nil {
		// A copy is not a request, so it reserves no load.
		holder.Release()
	}
	return holder, err
}

// startReplicator creates the replicator of a run whose stream is open. It does nothing for a run without a copy.
func (h *streamHandler) startReplicator(firstCopy kvCopy) {
	if firstCopy.reference == "" {
		return
	}
	source, engine := h.choice, h.request.service.Engine
	r := &replicator{
		server: h.server, runID: h.request.id, source: source, movesSupported: engine.KVCopiesOnRequest,
		copyLifetime: engine.KeepFor(), current: firstCopy,
		pickHolder: func(ctx context.Context, avoidAddress string) (route.Choice, error) {
			return h.pickCopyHolder(ctx, source, avoidAddress)
		},
	}
	r.ctx, r.cancel = context.WithCancel(h.ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicator = r
}

// stopReplicator ends the replication for the current run after its loss. Its copy is not freed, and becomes the one
// from which the next run can resume.
func (h *streamHandler) stopReplicator() {
	if h.replicator == nil {
		return
	}
	if h.resumeCopy = h.replicator.stop(); h.resumeCopy.reference == h.sentReference {
		h.resumeCopy = kvCopy{}
	}
	h.replicator = nil
}

// cancelReplicator ends the replication for the current run, which leaves no copy. Without a call of stop, releaseUnused
// frees a moved copy.
func (h *streamHandler) cancelReplicator() {
	if h.replicator != nil {
		h.replicator.cancel()
	}
}
