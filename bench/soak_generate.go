package bench

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxSoakResumes bounds the entries that one answer tries.
const maxSoakResumes = 6

// runGenerator streams one answer after the other. The last one runs to its end.
func (s *Soak) runGenerator(ctx context.Context, i int) {
	r := s.random(uint64(100 + i))
	c := Caller{Key: WorkspaceKey(i % soakWorkspaces), HTTP: NewHTTP()}
	defer c.HTTP.CloseIdleConnections()
	for ctx.Err() == nil {
		prompt := make([]uint32, 16+r.IntN(200))
		for k := range prompt {
			prompt[k] = 1 + r.Uint32N(1<<20)
		}
		s.generate(context.WithoutCancel(ctx), r, c, prompt, 20+r.IntN(250))
		pause(ctx, 0.01+0.1*r.Float64())
	}
}

// generate follows one answer over as many entries as it takes, and checks it after each.
func (s *Soak) generate(ctx context.Context, r *rand.Rand, c Caller, prompt []uint32, maxTokens int) {
	ctx, cancel := context.WithTimeout(ctx, soakGenerateFor)
	defer cancel()
	g := Generation{Prompt: prompt}
	address, end := "", "lost"
	for n := range maxSoakResumes {
		address = s.daemon(r, address)
		if n > 0 && g.Cursor != "" {
			s.record(func(result *SoakResult) { result.Resumes++ })
		}
		g.Code, g.Outcome, g.Finish, g.Done = "", "", "", false
		call, hangUp := ctx, func() {}
		if n == 0 && r.IntN(4) == 0 {
			// The caller loses its entry at some moment, which an entry that has died looks like from outside.
			call, hangUp = context.WithTimeout(ctx, time.Duration(r.IntN(800))*time.Millisecond)
		}
		err := c.Resume(call, address, "model-0", &g, maxTokens)
		hangUp()
		s.checkAnswer(g, maxTokens, err)
		if end = endOf(g); end != "lost" {
			break
		}
		pause(ctx, 0.05)
	}
	if ctx.Err() != nil {
		s.breaks("bounded wait", "an answer had no end within %v: %d tokens, end %q", soakGenerateFor, len(g.Tokens), end)
	}
	s.record(func(result *SoakResult) {
		result.Generations[end]++
		result.Tokens += len(g.Tokens)
		result.Longest = max(result.Longest, g.Longest.Seconds())
	})
}

// endOf returns how an answer ended at one entry; one that was cut is lost and may be resumed.
func endOf(g Generation) string {
	switch {
	case g.Done:
		return "finished"
	case g.Code != "" && g.Code != "shutting-down" && g.Code != "draining":
		return g.Code
	default:
		return "lost"
	}
}

// checkAnswer holds for unfinished answers too: what a caller has is always one unbroken run of one generation.
func (s *Soak) checkAnswer(g Generation, maxTokens int, err error) {
	if wrong := g.Check(maxTokens); wrong != nil {
		s.breaks("I1, I2, I3", "an answer of %d tokens, finish %q: %v", len(g.Tokens), g.Finish, wrong)
	}
	if len(g.Tokens) > maxTokens {
		s.breaks("I1", "%d tokens where %d were asked for", len(g.Tokens), maxTokens)
	}
	if g.Done && (g.Finish == "" || g.Code != "") {
		s.breaks("truthful end", "end mark with finish %q and error %q", g.Finish, g.Code)
	}
	if g.Code == "unreadable" {
		s.breaks("typed errors", "status %d without a typed error, transport error %v", g.Status, err)
	}
	if g.Code != "" && g.Outcome == "not-run" && g.Status == 200 && len(g.Tokens) > 0 {
		s.breaks("I4", "error %q says not-run after %d tokens", g.Code, len(g.Tokens))
	}
}
