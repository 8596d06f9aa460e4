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

// callTimeout bounds one call of a test to a stand-in.
const callTimeout = 10 * time.Second

// Deployment describes and then holds one whole deployment. Exported fields are set before Start.
type Deployment struct {
	// Binary is the program; where empty, Start builds it.
	Binary string
	// Places are given to the processes in turn.
	Places []string
	// Model is the model of every engine, as the --model argument; Service is the name of every service.
	Model    string
	Service  string
	Engines  int
	Services int
	Daemons  int
	// EngineArgs, ServiceArgs and PlatformArgs are added to the command lines.
	EngineArgs   []string
	ServiceArgs  []string
	PlatformArgs []string
	// Adjust changes the settings of daemon i before they are written.
	Adjust func(i int, s *Settings)
	// Linked, where set, gets the link that then stands between the daemons and engine i.
	Linked func(i int, l *Link)

	platform *Process
	engines  []*Process
	services []*Process
	daemons  []*Process
	settings []Settings
}

// New returns a Deployment with the places of deployment (a) and instant visibility in the instance list.
func New() *Deployment {
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

// EngineCount returns the number of engines that were started.
func (d *Deployment) EngineCount() int { return len(d.engines) }

// ServiceRunner returns the process of service runner i.
func (d *Deployment) ServiceRunner(i int) *Process { return d.services[i] }

// Daemon returns the process of daemon i.
func (d *Deployment) Daemon(i int) *Process { return d.daemons[i] }

// Settings returns the settings of daemon i.
func (d *Deployment) Settings(i int) Settings { return d.settings[i] }

// Start starts the platform, the engines, the services and the daemons, in this order.
func (d *Deployment) Start(t testing.TB) {
	t.Helper()
	if d.Binary == "" {
		d.Binary = Binary(t)
	}
	d.platform = Start(t, d.Binary, append([]string{"standin", "platform"}, d.PlatformArgs...)...)
	for range d.Engines {
		d.AddEngine(t)
	}
	for i := range d.Services {
		args := d.standinArgs("service", d.Service, i)
		d.services = append(d.services, Start(t, d.Binary, append(args, d.ServiceArgs...)...))
	}
	for range d.Daemons {
		d.AddDaemon(t)
	}
}

// AddEngine starts one more engine.
func (d *Deployment) AddEngine(t testing.TB) *Process {
	t.Helper()
	i := len(d.engines)
	args := append(d.standinArgs("engine", d.modelName(), i), "--model", d.Model, "--seed", strconv.Itoa(i+1))
	p := Start(t, d.Binary, append(args, d.EngineArgs...)...)
	d.engines = append(d.engines, p)
	if d.Linked != nil {
		d.link(t, i)
	}
	return p
}

// link puts a link before an engine and lists the link's address in place of the engine's.
func (d *Deployment) link(t testing.TB, i int) {
	t.Helper()
	var report struct{ Incarnation string }
	Get(t, d.engines[i], "/v1/load", &report)
	l := Proxy(t, d.engines[i].Address())
	d.RemoveInstance(t, d.engines[i])
	d.PutInstance(t, standin.Instance{
		Address: l.Address(), Incarnation: report.Incarnation, Place: d.place(i), Kind: "model", Name: d.modelName(), State: "live",
	})
	d.Linked(i, l)
}

// AddDaemon starts one more daemon.
func (d *Deployment) AddDaemon(t testing.TB) *Process {
	t.Helper()
	s := DefaultSettings()
	s.Listen, s.Operator, s.Peer = FreeAddress(t), FreeAddress(t), FreeAddress(t)
	s.Place, s.Platform = d.place(len(d.daemons)), d.platform.Address()
	if d.Adjust != nil {
		d.Adjust(len(d.daemons), &s)
	}
	p := Start(t, d.Binary, "serve", "--settings", WriteSettings(t, s))
	d.settings = append(d.settings, s)
	d.daemons = append(d.daemons, p)
	return p
}

// SetFaults sends a body to a stand-in's POST /faults.
func SetFaults(t testing.TB, p *Process, faults any) {
	t.Helper()
	Post(t, p, "/faults", faults)
}

// Post sends a JSON body to a stand-in.
func Post(t testing.TB, p *Process, path string, body any) {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	call(t, http.MethodPost, "http://"+p.Address()+path, data, nil)
}

// Get reads a JSON answer of a stand-in, for example /stats, /runs or /calls.
func Get(t testing.TB, p *Process, path string, answer any) {
	t.Helper()
	call(t, http.MethodGet, "http://"+p.Address()+path, nil, answer)
}

// PutInstance writes one row of the platform's instance list.
func (d *Deployment) PutInstance(t testing.TB, row standin.Instance) {
	t.Helper()
	require.NoError(t, standin.Register(t.Context(), d.platform.Address(), row))
}

// RemoveInstance removes a process's row from the platform's instance list.
func (d *Deployment) RemoveInstance(t testing.TB, p *Process) {
	t.Helper()
	call(t, http.MethodDelete, "http://"+d.platform.Address()+"/instances?address="+p.Address(), nil, nil)
}

func (d *Deployment) standinArgs(kind, name string, i int) []string {
	return []string{"standin", kind, "--platform", d.platform.Address(), "--place", d.place(i), "--name", name}
}

func (d *Deployment) place(i int) string { return d.Places[i%len(d.Places)] }

func (d *Deployment) modelName() string {
	name, _, _ := strings.Cut(d.Model, "@")
	return name
}

func call(t testing.TB, method, url string, body []byte, answer any) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Lessf(t, resp.StatusCode, 300, "%s %s: %s", method, url, data)
	if answer != nil {
		require.NoError(t, json.Unmarshal(data, answer))
	}
}
