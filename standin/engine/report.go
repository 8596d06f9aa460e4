package engine

import (
	"context"
	"net/http"
	"slices"
	"strconv"

	"radishhollow/standin"
)

// Model is one loaded model and its loaded adapters.
type Model struct {
	Name     string    `json:"name"`
	Version  string    `json:"version"`
	Adapters []Adapter `json:"adapters"`
}

// Adapter is one loaded adapter.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// report is the load report, the body of GET /v1/load.
type report struct {
	Incarnation          string  `json:"incarnation"`
	State                string  `json:"state"`
	Place                string  `json:"place"`
	Sequence             uint64  `json:"sequence"`
	Running              int     `json:"running"`
	Waiting              int     `json:"waiting"`
	Slots                int     `json:"slots"`
	CacheBlocksUsed      int     `json:"cache-blocks-used"`
	CacheBlocks          int     `json:"cache-blocks"`
	WaitingPrefillTokens int     `json:"waiting-prefill-tokens"`
	PrefillRate          float64 `json:"prefill-rate"`
	TokenGapMS           float64 `json:"token-gap-ms"`
	Role                 string  `json:"role"`
	MaxFencingToken      uint64  `json:"fence"`
	Models               []Model `json:"models"`
}

// runReports publishes a load report every ReportLag, so that the report that readers see is up to one ReportLag old.
func (s *Server) runReports(ctx context.Context) {
	for standin.Sleep(ctx.Done(), s.ReportLag) && s.awaitUnfrozen(ctx) {
		s.mu.Lock()
		s.publishReport()
		s.mu.Unlock()
	}
}

func (s *Server) publishReport() {
	prefill := 0
	for _, st := range s.waiting {
		prefill += len(st.prompt)
	}
	for _, st := range s.running {
		prefill += st.remainingPrefillTokens
	}
	models := make([]Model, len(s.models))
	for i, m := range s.models {
		models[i] = Model{Name: m.Name, Version: m.Version, Adapters: append([]Adapter{}, m.Adapters...)}
	}
	s.report = report{
		Incarnation:          s.incarnation,
		State:                s.stateName(),
		Place:                s.Place,
		Sequence:             s.report.Sequence + 1,
		Running:              len(s.running),
		Waiting:              len(s.waiting),
		Slots:                s.Slots,
		CacheBlocksUsed:      len(s.cache.blocks),
		CacheBlocks:          s.CacheBlocks,
		WaitingPrefillTokens: prefill,
		PrefillRate:          s.PrefillRate / s.slowFactor,
		TokenGapMS:           float64(s.tokenGap().Microseconds()) / 1000,
		Role:                 s.role,
		MaxFencingToken:      s.maxFencingToken,
		Models:               models,
	}
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	r := s.report
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, r)
}

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	// A missing sequence number reads from the start.
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	events, next := s.cache.eventsAfter(after, s.EventLag)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}

// specOf returns the spec of a loaded model, MODEL@VERSION, or of a model with one of its loaded adapters,
// MODEL@VERSION+ADAPTER@VERSION. It returns false if the model or the adapter is not loaded.
func (s *Server) specOf(model, adapter string) (string, bool) {
	m := slices.IndexFunc(s.models, func(m Model) bool { return m.Name == model })
	if m < 0 {
		return "", false
	}
	spec := model + "@" + s.models[m].Version
	if adapter == "" {
		return spec, true
	}
	adapters := s.models[m].Adapters
	a := slices.IndexFunc(adapters, func(a Adapter) bool { return a.Name == adapter })
	if a < 0 {
		return "", false
	}
	return spec + "+" + adapter + "@" + adapters[a].Version, true
}
