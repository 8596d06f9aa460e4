package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"radishhollow/io/operator"
)

// statusPollInterval is the delay between two status requests while apply waits.
const statusPollInterval = 200 * time.Millisecond

func (o output) check(args *sheetCheckArgs) int {
	_, fields, ok := o.readSheet(args.File)
	if !ok {
		return ExitFailed
	}
	o.printLine("sheet %d is valid: %d places, %d services, %d models, %d workspaces", fields.SheetNumber,
		len(fields.Places), len(fields.Services), len(fields.Models), len(fields.Workspaces))
	return ExitOK
}

func (o output) plan(ctx context.Context, args *sheetPlanArgs) int {
	client, err := args.client()
	if err != nil {
		return o.failError(err)
	}
	text, _, ok := o.readSheet(args.File)
	if !ok {
		return ExitFailed
	}
	plan, err := client.Plan(ctx, text)
	if err != nil {
		return o.failError(err)
	}
	for _, change := range plan.Changes {
		o.printLine("%s", change)
	}
	o.printLine("%d changes from revision %d; apply with --base %d", len(plan.Changes), plan.Base, plan.Base)
	return ExitOK
}

func (o output) apply(ctx context.Context, args *sheetApplyArgs) int {
	client, err := args.client()
	if err != nil {
		return o.failError(err)
	}
	text, _, ok := o.readSheet(args.File)
	if !ok {
		return ExitFailed
	}
	applied, err := client.Apply(ctx, text, args.Base)
	if err != nil {
		return o.failError(err)
	}
	result := "accepted"
	if applied.AlreadyInForce {
		result = "already in force"
	}
	o.printLine("revision %d %s, digest %s", applied.Revision, result, applied.Digest)
	return o.awaitRevision(ctx, client, applied, args.Wait)
}

// awaitRevision polls the status until every known instance has the revision or the timeout ends, and then prints the
// instances. It fails with the addresses of the instances that still lack the revision.
func (o output) awaitRevision(ctx context.Context, client operator.Client, applied operator.Applied, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, statusPollInterval))
	defer cancel()
	var lastStatus operator.Status
	var lastErr error
	for {
		status, err := client.Status(ctx)
		// An error after the timeout comes from the canceled request and says nothing about the entry, so it counts
		// only if no request has succeeded or failed before.
		if ctx.Err() == nil || lastErr == nil && lastStatus.Revision == 0 {
			lastErr = err
		}
		if err == nil {
			lastStatus = status
		}
		if err == nil && len(instancesLacking(lastStatus, applied)) == 0 || !sleep(ctx, statusPollInterval) {
			break
		}
	}
	if lastErr != nil {
		return o.fail(ExitFailed, fmt.Sprintf("revision %d is accepted, but it is unknown which instances have it: %v", applied.Revision, lastErr))
	}
	o.printInstances(lastStatus)
	if addresses := instancesLacking(lastStatus, applied); len(addresses) > 0 {
		return o.fail(ExitFailed, fmt.Sprintf("%d of %d instances lack revision %d after %s: %s; check them and request the status again",
			len(addresses), len(lastStatus.Instances), applied.Revision, timeout, strings.Join(addresses, ", ")))
	}
	return ExitOK
}

// instancesLacking returns the addresses of the instances that have an older revision, or a different document under
// the same revision.
func instancesLacking(status operator.Status, applied operator.Applied) []string {
	var addresses []string
	for _, i := range status.Instances {
		forked := i.Revision == applied.Revision && i.Digest != "" && i.Digest != applied.Digest
		if i.Revision < applied.Revision || forked {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses
}

func (o output) status(ctx context.Context, args *sheetStatusArgs) int {
	client, err := args.client()
	if err != nil {
		return o.failError(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return o.failError(err)
	}
	o.printLine("revision %d, sheet %d, digest %s", status.Revision, status.SheetNumber, status.Digest)
	o.printInstances(status)
	return ExitOK
}

func (o output) printInstances(status operator.Status) {
	for _, i := range status.Instances {
		state := "ready"
		switch {
		case i.LastSeenAgeMS < 0:
			state = "never heard from"
		case i.Draining:
			state = "draining"
		}
		o.printLine("%-22s %-14s revision %d  %s, last seen %d ms ago", i.Address, i.Place, i.Revision, state, max(0, i.LastSeenAgeMS))
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
