package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"radishhollow/io/operator"
)

// statusInterval is the pause between two questions for the status while an apply waits.
const statusInterval = 200 * time.Millisecond

func (o output) check(args *sheetCheckArgs) int {
	_, fields, ok := o.readSheet(args.File)
	if !ok {
		return ExitFailed
	}
	o.print("sheet %d is valid: %d places, %d services, %d models, %d workspaces", fields.SheetNumber,
		len(fields.Places), len(fields.Services), len(fields.Models), len(fields.Workspaces))
	return ExitOK
}

func (o output) plan(ctx context.Context, args *sheetPlanArgs) int {
	client, err := args.client()
	if err != nil {
		return o.failWith(err)
	}
	text, _, ok := o.readSheet(args.File)
	if !ok {
		return ExitFailed
	}
	plan, err := client.Plan(ctx, text)
	if err != nil {
		return o.failWith(err)
	}
	for _, change := range plan.Changes {
		o.print("%s", change)
	}
	o.print("%d changes from revision %d; apply with --base %d", len(plan.Changes), plan.Base, plan.Base)
	return ExitOK
}

func (o output) apply(ctx context.Context, args *sheetApplyArgs) int {
	client, err := args.client()
	if err != nil {
		return o.failWith(err)
	}
	text, _, ok := o.readSheet(args.File)
	if !ok {
		return ExitFailed
	}
	applied, err := client.Apply(ctx, text, args.Base)
	if err != nil {
		return o.failWith(err)
	}
	word := "accepted"
	if applied.AlreadyInForce {
		word = "already in force"
	}
	o.print("revision %d %s, digest %s", applied.Revision, word, applied.Digest)
	return o.await(ctx, client, applied, args.Wait)
}

// await asks for the status until every known instance has the revision, and names those that lack it at the end.
func (o output) await(ctx context.Context, client operator.Client, applied operator.Applied, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, max(wait, statusInterval))
	defer cancel()
	var last operator.Status
	var failed error
	for {
		status, err := client.Status(ctx)
		// The end of the wait interrupts a call, which says nothing about the entry.
		if ctx.Err() == nil || failed == nil && last.Revision == 0 {
			failed = err
		}
		if err == nil {
			last = status
		}
		if err == nil && len(lacking(last, applied)) == 0 || !pause(ctx, statusInterval) {
			break
		}
	}
	if failed != nil {
		return o.fail(ExitFailed, fmt.Sprintf("revision %d is accepted, but its spread is unknown: %v", applied.Revision, failed))
	}
	o.instances(last)
	if names := lacking(last, applied); len(names) > 0 {
		return o.fail(ExitFailed, fmt.Sprintf("%d of %d instances lack revision %d after %s: %s; check them and ask for the status again",
			len(names), len(last.Instances), applied.Revision, wait, strings.Join(names, ", ")))
	}
	return ExitOK
}

// lacking returns the instances below the revision, and those that hold another document as the same revision.
func lacking(status operator.Status, applied operator.Applied) []string {
	var names []string
	for _, i := range status.Instances {
		forked := i.Revision == applied.Revision && i.Digest != "" && i.Digest != applied.Digest
		if i.Revision < applied.Revision || forked {
			names = append(names, i.Address)
		}
	}
	return names
}

func (o output) status(ctx context.Context, args *sheetStatusArgs) int {
	client, err := args.client()
	if err != nil {
		return o.failWith(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return o.failWith(err)
	}
	o.print("revision %d, sheet %d, digest %s", status.Revision, status.SheetNumber, status.Digest)
	o.instances(status)
	return ExitOK
}

func (o output) instances(status operator.Status) {
	for _, i := range status.Instances {
		state := "ready"
		switch {
		case i.LastSeenAgeMS < 0:
			state = "never heard from"
		case i.Draining:
			state = "draining"
		}
		o.print("%-22s %-14s revision %d  %s, heard %d ms ago", i.Address, i.Place, i.Revision, state, max(0, i.LastSeenAgeMS))
	}
}

// pause reports false where ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
