package forward

import (
	"context"
	"net/http"
	"strconv"

	"radishhollow/core/route"
)

// resumeClass is the rank of a run that goes on, above that of new ones, which is 5.
const resumeClass = 2

// copied is a copy of a run's memory. Its zero value stands for none.
type copied struct {
	holder route.Choice
	// from is the name by which the holder finds the copy.
	from string
}

// placeCopy names the copy that the run goes on from, and the engine in another place that gets the next one.
func (t *streamed) placeCopy(ctx context.Context, address string, offset int, header http.Header) (next copied) {
	f, q := t.server.Format, t.request
	if t.lost != "" {
		header.Set(f.Priority, strconv.Itoa(resumeClass))
	}
	if t.copy.holder.Address() == address {
		header.Set(f.ResumeFrom, t.copy.from)
		header.Set(f.LastEventID, strconv.Itoa(offset))
	}
	if q.service.Engine == nil || !q.service.Engine.Backups || !q.route.Resumable {
		return copied{}
	}
	holder, err := t.pickHolder(ctx, t.choice, "")
	if err != nil {
		return copied{}
	}
	header.Set(f.BackupAddress, holder.Address())
	return copied{holder: holder, from: holder.Address() + "/" + q.id}
}

// pickHolder chooses an engine for a copy of a run's memory, in another place than the run's engine where there is one.
func (t *streamed) pickHolder(ctx context.Context, source route.Choice, lost string) (route.Choice, error) {
	need := t.server.need(t.request)
	need.Exclude, need.AvoidPlace, need.LocalPlace = map[string]bool{source.Address(): true, lost: true}, source.Place(), ""
	need.PromptTokens, need.AffinityKey = 0, ""
	holder, err := t.server.Pick(ctx, need)
	if err == nil {
		holder.Release()
	}
	return holder, err
}

// keep starts to keep the copy of a run that has begun.
func (t *streamed) keep(next copied) {
	if next.from == "" {
		return
	}
	source, engine := t.choice, t.request.service.Engine
	k := &keeper{
		server: t.server, run: t.request.id, source: source, moves: engine.Moves, keepFor: engine.KeepFor(), present: next,
		pick: func(ctx context.Context, lost string) (route.Choice, error) { return t.pickHolder(ctx, source, lost) },
	}
	k.ctx, k.cancel = context.WithCancel(t.ctx)
	t.keeper = k
}

// kept ends the keeping of the current run's copy. It stays known for the next run.
func (t *streamed) kept() {
	if t.keeper == nil {
		return
	}
	t.copy = t.keeper.take()
	t.keeper = nil
}
