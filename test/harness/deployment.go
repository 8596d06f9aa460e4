package harness

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin"
)

// callTimeout limits one HTTP call from a test to a stand-in or daemon.
const callTimeout = 10 * time.Second

// Deployment is a platform with engines, service runners and daemons. Its exported fields configure the processes that
// Start, AddEngine, AddDaemon and ReplaceEngine start, and the sheets that Sheet returns. Changes do not affect
// processes that already run. A Deployment must not be changed or extended concurrently.
type Deployment struct {
	// Binary is the path of the program. If it is empty, Start builds the program.
	Binary string
	// Places are assigned to the processes round-robin.
	Places []string
	// Model is the value of the --model argument of every engine, such as briefing@1 or briefing@1+crew@3 with an adapter.
	// Service is the name of the service of every service runner.
	Model   string
	Service string
	// Engines, Services and Daemons are the numbers of engines, service runners and daemons that Start starts.
	Engines  int
	Services int
	Daemons  int
	// EngineArgs, ServiceArgs and PlatformArgs are appended to the command lines of the stand-ins.
	EngineArgs   []string
	ServiceArgs  []string
	PlatformArgs []string
	// AdjustSettings, if not nil, changes the settings of daemon i before they are written.
	AdjustSettings func(i int, s *Settings)
	// OnEngineLink, if not nil, makes the daemons connect to engine i through a Link and is called with that link.
	OnEngineLink func(i int, l *Link)

	platform *Process
	engines  []*Process
	services []*Process
	daemons  []*Process
	settings []Settings
}

// NewDeployment returns a Deployment with the places of the sheet examples/association.csv. Changes of its instance
// list are visible immediately.
func NewDeployment() *Deployment {
	return &Deployment{
		Places:       []string{"canas", "bagaces", "liberia", "filadelfia"},
		Model:        "briefing@1",
		Service:      "app",
		Engines:      4,
		Services:     2,
		Daemons:      2,
		PlatformArgs: []string{"--instance-lag", "0s"},
	}
}

// Platform returns the platform's process.
func (d *Deployment) Platform() *Process { return d.platform }

// Engine returns the process of engine i.
func (d *Deployment) Engine(i int) *Process { return d.engines[i] }

// EngineCount returns the number of engines that were added. Replacements are not counted.
func (d *Deployment) EngineCount() int { return len(d.engines) }

// ServiceRunner returns the process of service runner i.
func (d *Deployment) ServiceRunner(i int) *Process { return d.services[i] }

// Daemon returns the process of daemon i.
func (d *Deployment) Daemon(i int) *Process { return d.daemons[i] }

// Settings returns the settings of daemon i.
func (d *Deployment) Settings(i int) Settings { return d.settings[i] }

// Start starts the platform, the engines, the service runners and the daemons, in this order.
func (d *Deployment) Start(t testing.TB) {
	t.Helper()
	if d.Binary == "" {
		d.Binary = Binary(t)
	}
	d.platform = StartProcess(t, d.Binary, append([]string{"standin", "platform"}, d.PlatformArgs...)...)
	for range d.Engines {
		d.AddEngine(t)
	}
	for i := range d.Services {
		args := d.standinArgs("service", d.Service, i)
		d.services = append(d.services, StartProcess(t, d.Binary, append(args, d.ServiceArgs...)...))
	}
	for range d.Daemons {
		d.AddDaemon(t)
	}
}

// AddEngine starts one more engine. With OnEngineLink it also starts the link to the engine.
func (d *Deployment) AddEngine(t testing.TB) *Process {
	t.Helper()
	i := len(d.engines)
	args := append(d.standinArgs("engine", d.modelName(), i), "--model", d.Model, "--seed", strconv.Itoa(i+1))
	p := StartProcess(t, d.Binary, append(args, d.EngineArgs...)...)
	d.engines = append(d.engines, p)
	if d.OnEngineLink != nil {
		d.linkEngine(t, i)
	}
	return p
}

// linkEngine starts a link to an engine and replaces the engine's address in the instance list with the link's address.
func (d *Deployment) linkEngine(t testing.TB, i int) {
	t.Helper()
	var report struct{ Incarnation string }
	GetJSON(t, d.engines[i], "/v1/load", &report)
	l := NewLink(t, d.engines[i].Address())
	d.RemoveInstance(t, d.engines[i])
	d.PutInstance(t, standin.Instance{
		Address: l.Address(), Incarnation: report.Incarnation, Place: d.place(i), Kind: "model", Name: d.modelName(), State: "live",
	})
	d.OnEngineLink(i, l)
}

// AddDaemon starts one more daemon.
func (d *Deployment) AddDaemon(t testing.TB) *Process {
	t.Helper()
	s := DefaultSettings()
	s.Listen, s.Operator, s.Peer = FreeAddress(t), FreeAddress(t), FreeAddress(t)
	s.Place, s.Platform = d.place(len(d.daemons)), d.platform.Address()
	if d.AdjustSettings != nil {
		d.AdjustSettings(len(d.daemons), &s)
	}
	p := StartProcess(t, d.Binary, "serve", "--settings", WriteSettings(t, s))
	d.settings = append(d.settings, s)
	d.daemons = append(d.daemons, p)
	return p
}

// SetFaults sends the faults to POST /faults of a stand-in. The platform and service runners replace all their faults,
// an engine only those in the body.
func SetFaults(t testing.TB, p *Process, faults any) {
	t.Helper()
	PostJSON(t, p, "/faults", faults)
}

// PostJSON sends the body as JSON to a path of a stand-in.
func PostJSON(t testing.TB, p *Process, path string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	doJSON(t, http.MethodPost, "http://"+p.Address()+path, data, nil)
}

// GetJSON decodes the JSON response of a stand-in into result. Examples of paths are /stats, /runs and /calls.
func GetJSON(t testing.TB, p *Process, path string, result any) {
	t.Helper()
	doJSON(t, http.MethodGet, "http://"+p.Address()+path, nil, result)
}

// PutInstance adds a row to the platform's instance list or replaces the row with the same address.
func (d *Deployment) PutInstance(t testing.TB, row standin.Instance) {
	t.Helper()
	require.NoError(t, standin.Register(t.Context(), d.platform.Address(), row))
}

// RemoveInstance removes a process's row from the platform's instance list.
func (d *Deployment) RemoveInstance(t testing.TB, p *Process) {
	t.Helper()
	doJSON(t, http.MethodDelete, "http://"+d.platform.Address()+"/instances?address="+p.Address(), nil, nil)
}

func (d *Deployment) standinArgs(kind, name string, i int) []string {
	return []string{"standin", kind, "--platform", d.platform.Address(), "--place", d.place(i), "--name", name}
}

func (d *Deployment) place(i int) string { return d.Places[i%len(d.Places)] }

func (d *Deployment) modelName() string {
	name, _, _ := strings.Cut(d.Model, "@")
	return name
}

func doJSON(t testing.TB, method, url string, body []byte, result any) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Lessf(t, resp.StatusCode, 300, "%s %s: %s", method, url, data)
	if result != nil {
		require.NoError(t, json.Unmarshal(data, result))
	}
}
