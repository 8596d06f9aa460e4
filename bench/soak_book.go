package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
)

// bookingRecord counts the responses to one key by outcome and holds the last body with outcome ran.
type bookingRecord struct {
	notRun, ran, unknown int
	body                 string
}

// runBookings sends bookings and repeats most of them with the same key at random daemons.
func (s *Soak) runBookings(ctx context.Context, i int) {
	r := s.newRandom(uint64(firstBookingSequence + i))
	c := Caller{Key: WorkspaceKey(i % soakWorkspaces), HTTP: NewHTTPClient()}
	defer c.HTTP.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("soak-%d-%d-%d", s.Seed, i, n)
		if r.IntN(4) == 0 {
			s.sendBooking(context.WithoutCancel(ctx), r, c, key, "Test-Id")
		} else {
			for range 1 + r.IntN(3) {
				s.sendBooking(context.WithoutCancel(ctx), r, c, key, "Idempotency-Key")
			}
		}
		sleep(ctx, 0.02+0.05*r.Float64())
	}
}

// sendBooking sends one booking with key in the given header. A booking with a Test-Id has no idempotency key and is
// never repeated.
func (s *Soak) sendBooking(ctx context.Context, r *rand.Rand, c Caller, key, header string) {
	ctx, cancel := context.WithTimeout(ctx, soakBookingTimeout)
	defer cancel()
	address := s.pickDaemon(r, "")
	req, err := c.newRequest(ctx, http.MethodPost, "http://"+address+"/services/booking/book", map[string]string{"seat": key})
	if err != nil {
		s.addViolation("bench", "%v", err)
		return
	}
	req.Header.Set(header, key)
	outcome, body := "no-answer", ""
	if resp, err := c.HTTP.Do(req); err == nil {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			outcome, body = resp.Header.Get("Outcome"), fmt.Sprint(resp.StatusCode, " ", string(data))
		}
	}
	s.recordBooking(key, outcome, body)
}

func (s *Soak) recordBooking(key, outcome, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Bookings[outcome]++
	b := s.bookings[key]
	if b == nil {
		b = &bookingRecord{}
		s.bookings[key] = b
	}
	switch outcome {
	case "not-run":
		b.notRun++
	case "ran":
		if b.ran++; b.ran > 1 {
			s.result.Replays++
			if b.body != body {
				s.result.Violations = append(s.result.Violations, Violation{"equal replays", b.body + " then " + body})
			}
		}
		b.body = body
	default:
		b.unknown++
	}
}

// checkBookings compares all responses with the run counts of the service runners, which stay readable after a runner
// has stopped. Runs are counted by key, so a response not-run can only be checked if no other request with the same key
// may have run. For bookings that were sent once, which includes all with a Test-Id, the check is exact.
func (s *Soak) checkBookings() {
	runs := map[string]int{}
	for _, server := range s.runners {
		for key, n := range server.Runs() {
			runs[key] += n
		}
	}
	for key, b := range s.bookings {
		switch n := runs[key]; {
		case n > 1:
			s.addViolation("I5", "%s ran %d times", key, n)
		case b.ran > 0 && n == 0:
			s.addViolation("truthful outcome", "%s was answered as ran and did not run", key)
		case b.ran+b.unknown == 0 && n > 0:
			s.addViolation("I4", "%s was only answered as not-run and ran", key)
		}
	}
}
