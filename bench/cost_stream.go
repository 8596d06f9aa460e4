package bench

import (
	"context"
	"time"

	"radishhollow/standin/engine"
)

// Time model of the engines behind measured streams.
const (
	streamGap    = 67 * time.Millisecond
	streamTokens = 4000
	streamPrompt = 500
)

// startEngines replaces the fakes of the list's models by stand-ins that stream, where streams are measured.
func (c *Cost) startEngines(ctx context.Context) error {
	for i := range c.rows {
		row := &c.rows[i]
		if row.Kind != "model" {
			continue
		}
		e := engine.New()
		e.Listen, e.Place, e.Seed = "127.0.0.1:0", row.Place, uint64(i+1)
		e.TokenGap, e.TokenGapPerStream, e.MaxNaturalLength, e.Slots = streamGap, 0, 0, 256
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

// runStreams keeps the wanted number of streams open and counts those that end early.
func (c *Cost) runStreams(ctx context.Context) {
	client := NewHTTP()
	defer client.CloseIdleConnections()
	for i := range c.Streams {
		c.group.Go(func() { c.runStream(ctx, Caller{Key: WorkspaceKey(i % c.Workspaces), HTTP: client}, i) })
	}
	<-ctx.Done()
}

func (c *Cost) runStream(ctx context.Context, caller Caller, i int) {
	prompt := make([]uint32, streamPrompt)
	for k := range prompt {
		prompt[k] = uint32(1 + i*streamPrompt + k)
	}
	for ctx.Err() == nil {
		g, err := caller.Generate(ctx, c.settings.Listen, modelName(i%c.Models), prompt, streamTokens)
		if ctx.Err() == nil && (err != nil || g.Code != "") {
			c.failed.Add(1)
			pause(ctx, 0.5)
		}
	}
}
