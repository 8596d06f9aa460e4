package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
)

// bookRecord are all answers to one key.
type bookRecord struct {
	notRun, ran, unknown int
	body                 string
}

// runBooker sends bookings, and repeats most keys at other entries.
func (s *Soak) runBooker(ctx context.Context, i int) {
	r := s.random(uint64(200 + i))
	c := Caller{Key: WorkspaceKey(i % soakWorkspaces), HTTP: NewHTTP()}
	defer c.HTTP.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("soak-%d-%d-%d", s.Seed, i, n)
		if r.IntN(4) == 0 {
			s.book(context.WithoutCancel(ctx), r, c, key, "Test-Id")
		} else {
			for range 1 + r.IntN(3) {
				s.book(context.WithoutCancel(ctx), r, c, key, "Idempotency-Key")
			}
		}
		pause(ctx, 0.02+0.05*r.Float64())
	}
}

// book sends one booking. Under a Test-Id it has no idempotency key and is never repeated.
func (s *Soak) book(ctx context.Context, r *rand.Rand, c Caller, key, header string) {
	ctx, cancel := context.WithTimeout(ctx, soakBookFor)
	defer cancel()
	address := s.daemon(r, "")
	req, err := c.request(ctx, http.MethodPost, "http://"+address+"/services/booking/book", map[string]string{"seat": key})
	if err != nil {
		s.breaks("bench", "%v", err)
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
	s.note(key, outcome, body)
}

func (s *Soak) note(key, outcome, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Bookings[outcome]++
	b := s.books[key]
	if b == nil {
		b = &bookRecord{}
		s.books[key] = b
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

// checkBookings compares all answers with the runners' own counts, which outlive them.
func (s *Soak) checkBookings() {
	runs := map[string]int{}
	for _, server := range s.servers {
		for key, n := range server.Runs() {
			runs[key] += n
		}
	}
	for key, b := range s.books {
		switch n := runs[key]; {
		case n > 1:
			s.breaks("I5", "%s ran %d times", key, n)
		case b.ran > 0 && n == 0:
			s.breaks("truthful outcome", "%s was answered as ran and did not run", key)
		case b.ran+b.unknown == 0 && n > 0:
			s.breaks("I4", "%s was only answered as not-run and ran", key)
		}
	}
}
