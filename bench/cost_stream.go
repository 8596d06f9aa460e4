package bench

import (
	"context"
	"time"

	"radishhollow/standin/engine"
)

// Time between two tokens, and output and prompt length in tokens, of the measured streams.
const (
	streamTokenGap     = 67 * time.Millisecond
	streamTokens       = 4000
	streamPromptTokens = 500
)

// startEngines starts a stand-in engine for each listed endpoint of a model and puts its address into the list.
func (c *Cost) startEngines(ctx context.Context) error {
	for i := range c.listings {
		row := &c.listings[i]
		if row.Kind != "model" {
			continue
		}
		e := engine.New()
		e.Listen, e.Place, e.Seed = "127.0.0.1:0", row.Place, uint64(i+1)
		e.TokenGap, e.TokenGapPerStream, e.MaxNaturalLength, e.Slots = streamTokenGap, 0, 0, 256
		e.PrefillRate, e.MaxWaiting = 1e6, 1024
		e.Models = []engine.Model{{Name: row.Name, Version: "1"}}
		bound := make(chan string, 1)
		e.Ready = func(address string) { bound <- address }
		failed := make(chan error, 1)
		c.group.Go(func() { failed <- e.Run(ctx) })
		select {
		case row.Address = <-bound:
		case err := <-failed:
			return err
		}
		row.Incarnation = e.Incarnation()
	}
	return nil
}

// runStreams keeps CostSizes.Streams streams open until ctx ends and counts those that fail.
func (c *Cost) runStreams(ctx context.Context) {
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	for i := range c.Streams {
		c.group.Go(func() { c.runStream(ctx, Caller{Key: WorkspaceKey(i % c.Workspaces), HTTP: client}, i) })
	}
	<-ctx.Done()
}

func (c *Cost) runStream(ctx context.Context, caller Caller, i int) {
	prompt := make([]uint32, streamPromptTokens)
	for k := range prompt {
		prompt[k] = uint32(1 + i*streamPromptTokens + k)
	}
	for ctx.Err() == nil {
		g, err := caller.Generate(ctx, c.settings.Listen, modelName(i%c.Models), prompt, streamTokens)
		if ctx.Err() == nil && (err != nil || g.Code != "") {
			c.failedStreams.Add(1)
			sleep(ctx, 0.5)
		}
	}
}
