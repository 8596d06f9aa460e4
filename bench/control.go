package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"radishhollow/standin/engine"
)

// controlClient is the HTTP client for the control APIs of the stand-ins and for /metrics and /readyz of the daemons.
var controlClient = &http.Client{}

// InjectFault sends the faults as JSON to POST /faults of a stand-in.
func InjectFault(ctx context.Context, address string, faults any) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	_, err = controlCall(ctx, http.MethodPost, "http://"+address+"/faults", data)
	return err
}

// EngineStats returns the counters of the stand-in engine at the address.
func EngineStats(ctx context.Context, address string) (engine.Stats, error) {
	var stats engine.Stats
	data, err := controlCall(ctx, http.MethodGet, "http://"+address+"/stats", nil)
	if err != nil {
		return stats, err
	}
	return stats, json.Unmarshal(data, &stats)
}

// Runs returns how often the service runners have run each idempotency key.
func (f *Fleet) Runs(ctx context.Context) (map[string]int, error) {
	total := map[string]int{}
	for _, n := range f.services {
		data, err := controlCall(ctx, http.MethodGet, "http://"+n.address+"/runs", nil)
		if err != nil {
			return nil, err
		}
		var response struct {
			Runs map[string]int `json:"runs"`
		}
		if err := json.Unmarshal(data, &response); err != nil {
			return nil, err
		}
		for key, n := range response.Runs {
			total[key] += n
		}
	}
	return total, nil
}

// Metric returns the sum over all daemons of the metrics whose lines start with the prefix.
func (f *Fleet) Metric(ctx context.Context, prefix string) (float64, error) {
	sum := 0.0
	for _, d := range f.daemons {
		data, err := controlCall(ctx, http.MethodGet, "http://"+d.settings.OperatorListen+"/metrics", nil)
		if err != nil {
			return 0, err
		}
		for line := range strings.Lines(string(data)) {
			if !strings.HasPrefix(line, prefix) {
				continue
			}
			fields := strings.Fields(line)
			value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
			if err != nil {
				return 0, err
			}
			sum += value
		}
	}
	return sum, nil
}

func (d *Daemon) isReady(ctx context.Context) bool {
	_, err := controlCall(ctx, http.MethodGet, "http://"+d.Address()+"/readyz", nil)
	return err == nil
}

// controlCall sends a request and returns the body of the response, with a StatusError if the status is 300 or above.
func controlCall(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusMultipleChoices {
		err = StatusError{URL: url, Status: resp.StatusCode}
	}
	return data, err
}
