package forward

import (
	"context"
	"net/http"
	"strconv"

	"radishhollow/core/route"
)

// resumedRunPriority is the priority of a resumed run. It ranks above that of new runs, which is 5.
const resumedRunPriority = 2

// kvCopy is a copy of a run's KV cache at another engine, the holder. The zero value means no copy.
type kvCopy struct {
	holder route.Choice
	// reference identifies the copy at its holder; it is the value of Format.ResumeFrom.
	reference string
}

// setCopyHeaders sets the headers that name the copy to resume from and the engine in another place that receives the
// next copy. It returns the next copy.
func (h *streamHandler) setCopyHeaders(
	ctx context.Context, address string, offset int, header http.Header,
) (next kvCopy) {
	f, q := h.server.Format, h.request
	if h.lostPlace != "" {
		header.Set(f.Priority, strconv.Itoa(resumedRunPriority))
	}
	if h.resumeCopy.holder.Address() == address {
		header.Set(f.ResumeFrom, h.resumeCopy.reference)
		header.Set(f.LastEventID, strconv.Itoa(offset))
	}
	if q.service.Engine == nil || !q.service.Engine.Backups || !q.route.Resumable {
		return kvCopy{}
	}
	holder, err := h.pickCopyHolder(ctx, h.choice, "")
	if err != nil {
		return kvCopy{}
	}
	header.Set(f.BackupAddress, holder.Address())
	return kvCopy{holder: holder, reference: holder.Address() + "/" + q.id}
}

// pickCopyHolder chooses an engine for a copy of a run's KV cache, outside the place of the run's engine if possible.
func (h *streamHandler) pickCopyHolder(
	ctx context.Context, source route.Choice, lostAddress string,
) (route.Choice, error) {
	need := h.server.need(h.request)
	need.Exclude, need.AvoidPlace, need.LocalPlace = map[string]bool{
		source.Address(): true, lostAddress: true,
	}, source.Place(), ""
	need.PromptTokens, need.AffinityKey = 0, ""
	holder, err := h.server.Pick(ctx, need)
	if err == nil {
		holder.Release()
	}
	return holder, err
}

// startReplicator starts to maintain the copy of a run that has begun.
func (h *streamHandler) startReplicator(next kvCopy) {
	if next.reference == "" {
		return
	}
	source, engine := h.choice, h.request.service.Engine
	r := &replicator{
		server: h.server, runID: h.request.id, source: source, movesSupported: engine.Moves,
		copyLifetime: engine.KeepFor(), current: next,
		pickHolder: func(ctx context.Context, lostAddress string) (route.Choice, error) {
			return h.pickCopyHolder(ctx, source, lostAddress)
		},
	}
	r.ctx, r.cancel = context.WithCancel(h.ctx)
	h.replicator = r
}

// stopReplicator ends the replication for the current run. Its copy becomes the one that the next run resumes from.
func (h *streamHandler) stopReplicator() {
	if h.replicator == nil {
		return
	}
	h.resumeCopy = h.replicator.stop()
	h.replicator = nil
}
