package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sample holds the values of the daemon's metrics and of the fakes' counters at one time.
type sample struct {
	at            time.Time
	cpuSeconds    float64
	residentBytes float64
	heapBytes     float64
	tokens        float64
	calls         map[string]float64
	traffic       map[string]float64
}

func (c *Cost) sample(ctx context.Context) (sample, error) {
	s := sample{calls: map[string]float64{}, traffic: map[string]float64{}}
	data, err := controlCall(ctx, http.MethodGet, "http://"+c.settings.OperatorListen+"/metrics", nil)
	if err != nil {
		return s, err
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) != 2 {
			continue
		}
		value, err := strconv.ParseFloat(fields[1], 64)
		if err != nil {
			continue
		}
		switch fields[0] {
		case "process_cpu_seconds_total":
			s.cpuSeconds = value
		case "process_resident_memory_bytes":
			s.residentBytes = value
		case "go_memstats_heap_alloc_bytes":
			s.heapBytes = value
		}
		if strings.HasPrefix(fields[0], "radishhollow_token_gap_seconds_count") {
			s.tokens += value
		}
		if kind, ok := strings.CutPrefix(fields[0], `radishhollow_key_value_calls_total{class="`); ok {
			s.calls[strings.TrimSuffix(kind, `"}`)] = value
		}
	}
	s.at = time.Now()
	c.readTraffic(&s)
	return s, c.readPlatformCalls(ctx, &s)
}

// readTraffic adds the traffic counters of the fakes.
func (c *Cost) readTraffic(s *sample) {
	for name, t := range map[string]*Traffic{
		"peers": &c.traffic.peers, "endpoints": &c.traffic.endpoints, "platform": &c.traffic.platform,
	} {
		s.traffic[name+"-sent"] = float64(t.sent.Load())
		s.traffic[name+"-received"] = float64(t.received.Load())
		s.calls[name] = float64(t.calls.Load())
	}
	s.traffic["instance-list-bodies"] = float64(c.platform.listTraffic.received.Load())
}

// readPlatformCalls adds the calls that the platform counted itself. They verify the daemon's metric, which could miss
// calls.
func (c *Cost) readPlatformCalls(ctx context.Context, s *sample) error {
	data, err := controlCall(ctx, http.MethodGet, "http://"+c.platform.standInAddress+"/calls", nil)
	if err != nil {
		return err
	}
	counts := map[string]float64{}
	if err := json.Unmarshal(data, &counts); err != nil {
		return err
	}
	for _, kind := range []string{"get", "list", "watch", "grant", "renew"} {
		s.calls["platform-"+kind] = counts[kind]
	}
	return nil
}

func (c *Cost) result(before, after sample) CostResult {
	seconds := after.at.Sub(before.at).Seconds()
	return CostResult{
		Experiment: "control", CostSizes: c.CostSizes, SeparateProcess: c.SettingsFile != "",
		CorePercent: 100 * (after.cpuSeconds - before.cpuSeconds) / seconds,
		ResidentMB:  after.residentBytes / (1 << 20), HeapMB: after.heapBytes / (1 << 20),
		BytesPerSecond: ratesPerSecond(before.traffic, after.traffic, seconds),
		CallsPerSecond: ratesPerSecond(before.calls, after.calls, seconds), PolledEndpoints: len(c.polledListings()),
		TokensPerSecond: (after.tokens - before.tokens) / seconds, FailedStreams: c.failedStreams.Load(),
	}
}

// ratesPerSecond returns the increase of each counter per second, rounded to three decimals, without the counters that
// did not increase.
func ratesPerSecond(before, after map[string]float64, seconds float64) map[string]float64 {
	rates := map[string]float64{}
	for name, value := range after {
		if rate := (value - before[name]) / seconds; rate > 0 {
			rates[name] = float64(int(rate*1000+0.5)) / 1000
		}
	}
	return rates
}
