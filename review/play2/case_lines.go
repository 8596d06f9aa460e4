package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
)

// Figures of the case. The heads have about 14 KB, which is below max_header_bytes.
const (
	linesPerHead  = 1200
	linesRequests = 30
	deniedOfRule  = 5
	deniedShare   = 500
)

// runLines returns whether the rule was broken by proper requests whose heads have many short lines, one at a time.
func runLines(ctx context.Context, dir string, rec *record, trouble bool) (broken bool, err error) {
	fleet, err := startFleet(ctx, dir, rec, func(*runner) {})
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if !awaitReady(ctx, fleet.daemons) {
		return false, notReadyError{}
	}
	lines := 0
	if trouble {
		lines = linesPerHead
	}
	denied, answers := 0, map[int]int{}
	for i := range linesRequests {
		d, id := fleet.daemons[i%len(fleet.daemons)], newRequestID()
		parts := fmt.Sprintf("%s,%08x:2000", sharedPart, rand.Uint32())
		result := sendStreamWith(ctx, d.front, id, parts, lines)
		rec.log("request %s with %d further lines, sent to %s: %d, whole: %t (%v)", id, lines, d.name, result.status, result.whole, result.err)
		if answers[result.status]++; isDenial(result.status) {
			denied++
		}
	}
	rec.log("answers by status: %v; %d of %d proper requests were denied", answers, denied, linesRequests)
	return denied > deniedOfRule+linesRequests/deniedShare, nil
}

// isDenial reports whether a status denies a request although none of the promises that it has not run.
func isDenial(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
}
