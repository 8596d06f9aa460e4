package bench

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxSoakTriesPerGeneration bounds the number of requests for one generation: the first and its resumes, each at
// another daemon.
const maxSoakTriesPerGeneration = 6

// runGenerations streams one generation after the other until ctx ends. The last one still runs to its end.
func (s *Soak) runGenerations(ctx context.Context, i int) {
	r := s.newRandom(uint64(firstGenerationSequence + i))
	c := Caller{Key: WorkspaceKey(i % soakWorkspaces), HTTP: NewHTTPClient()}
	defer c.HTTP.CloseIdleConnections()
	for ctx.Err() == nil {
		prompt := make([]uint32, 16+r.IntN(200))
		for k := range prompt {
			prompt[k] = 1 + r.Uint32N(1<<20)
		}
		s.generate(context.WithoutCancel(ctx), r, c, prompt, 20+r.IntN(250))
		sleep(ctx, 0.01+0.1*r.Float64())
	}
}

// generate streams one generation, resumes it at other daemons after a loss, and checks it after each request.
func (s *Soak) generate(ctx context.Context, r *rand.Rand, c Caller, prompt []uint32, maxTokens int) {
	ctx, cancel := context.WithTimeout(ctx, soakGenerationTimeout)
	defer cancel()
	g := Generation{Prompt: prompt}
	address, state := "", "lost"
	for n := range maxSoakTriesPerGeneration {
		address = s.pickDaemon(r, address)
		if n > 0 && g.Cursor != "" {
			s.updateResult(func(result *SoakResult) { result.Resumes++ })
		}
		g.Code, g.Outcome, g.FinishReason, g.Done = "", "", "", false
		callCtx, disconnect := ctx, func() {}
		if n == 0 && r.IntN(4) == 0 {
			// The caller loses its connection at a random time; to the caller, a crashed daemon looks the same.
			callCtx, disconnect = context.WithTimeout(ctx, time.Duration(r.IntN(800))*time.Millisecond)
		}
		err := c.Resume(callCtx, address, "model-0", &g, maxTokens)
		disconnect()
		s.checkGeneration(g, maxTokens, err)
		if state = endState(g); state != "lost" {
			break
		}
		sleep(ctx, 0.05)
	}
	if ctx.Err() != nil {
		s.addViolation("bounded wait", "an answer had no end within %v: %d tokens, end %q", soakGenerationTimeout, len(g.Tokens), state)
	}
	s.updateResult(func(result *SoakResult) {
		result.Generations[state]++
		result.Tokens += len(g.Tokens)
		result.LongestWait = max(result.LongestWait, g.LongestWait.Seconds())
	})
}

// endState returns how a request for a generation ended: finished, lost or an error code. A lost generation may be
// resumed. Error codes other than shutting-down and draining end the generation; of these, only unreadable is a
// violation by itself (see checkGeneration).
func endState(g Generation) string {
	switch {
	case g.Done:
		return "finished"
	case g.Code != "" && g.Code != "shutting-down" && g.Code != "draining":
		return g.Code
	default:
		return "lost"
	}
}

// checkGeneration checks the generation as received so far. The checks apply to unfinished generations too: the tokens
// that a caller holds are always a prefix of one generation. Here I1 includes that there are no more tokens than
// requested, and I4 means that no stream ends with outcome not-run once the caller holds tokens of the generation. With
// finish reason stop, the number of tokens is not checked against the natural length.
func (s *Soak) checkGeneration(g Generation, maxTokens int, err error) {
	if wrong := g.Check(maxTokens); wrong != nil {
		s.addViolation("I1, I2, I3", "an answer of %d tokens, finish %q: %v", len(g.Tokens), g.FinishReason, wrong)
	}
	if len(g.Tokens) > maxTokens {
		s.addViolation("I1", "%d tokens where %d were asked for", len(g.Tokens), maxTokens)
	}
	if g.Done && (g.FinishReason == "" || g.Code != "") {
		s.addViolation("truthful end", "end mark with finish %q and error %q", g.FinishReason, g.Code)
	}
	if g.Code == "unreadable" {
		s.addViolation("typed errors", "status %d without a typed error, transport error %v", g.Status, err)
	}
	if g.Code != "" && g.Outcome == "not-run" && g.Status == 200 && len(g.Tokens) > 0 {
		s.addViolation("I4", "error %q says not-run after %d tokens", g.Code, len(g.Tokens))
	}
}
