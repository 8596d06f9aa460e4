// Package bench runs whole deployments in one process on loopback addresses, and loads, tests and measures them.
package bench

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"radishhollow/core/config"
	"radishhollow/daemon"
	"radishhollow/io/operator"
	"radishhollow/io/settings"
	"radishhollow/standin"
	"radishhollow/standin/engine"
	"radishhollow/standin/platform"
	"radishhollow/standin/service"
)

const (
	operatorKey  = "bench-operator-key"
	cursorKey    = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	startTimeout = 20 * time.Second
	pollPause    = 10 * time.Millisecond
)

// Fleet is a deployment in one process. Exported fields must be set before Start. After Start, engines, services and
// daemons may be added concurrently with each other, but each kind by one goroutine only.
type Fleet struct {
	// Sheet is the configuration that Start applies once the daemons run.
	Sheet string
	// Engines, Services and Daemons are the numbers of engines, service runners and daemons. Each is distributed
	// round-robin over the places of the sheet.
	Engines  int
	Services int
	Daemons  int
	// Engine adjusts a stand-in engine before it starts; it may be nil.
	Engine func(i int, s *engine.Server)
	// Service adjusts a stand-in service runner before it starts; it may be nil.
	Service func(i int, s *service.Server)
	// Settings adjusts the settings of a daemon before it starts; it may be nil.
	Settings func(i int, s *settings.Settings)
	// Options are passed to each daemon. They may decorate its components for a measurement.
	Options []fx.Option
	// Log is the logger of the daemons; nil discards the log except for panics.
	Log *logrus.Logger

	fields   config.Fields
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
	platform string
	engines  []*Node
	services []*Node
	daemons  []*Daemon
}

// Node is the stand-in of one endpoint.
type Node struct {
	address string
	place   string
	cancel  context.CancelFunc
}

// Address returns the IP address and port of the stand-in.
func (n *Node) Address() string { return n.address }

// Place returns the place of the stand-in.
func (n *Node) Place() string { return n.place }

// Kill stops the stand-in, which closes its connections.
func (n *Node) Kill() { n.cancel() }

// Daemon is one daemon of the fleet.
type Daemon struct {
	settings settings.Settings
	options  []fx.Option
	cancel   context.CancelFunc
	done     chan struct{}
	err      error
	stopping atomic.Bool
}

// Address returns the address on which the daemon serves callers.
func (d *Daemon) Address() string { return d.settings.Listen }

// Operator returns a client of the daemon's operator API.
func (d *Daemon) Operator() operator.Client {
	return operator.Client{Address: d.settings.OperatorListen, Key: operatorKey}
}

// Stop drains the daemon and waits until it has stopped.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.cancel()
	<-d.done
	return d.err
}

// Start starts the platform, the stand-ins and the daemons, applies the sheet and waits until every daemon is ready.
func (f *Fleet) Start(ctx context.Context) error {
	fields, faults := config.Parse(strings.NewReader(f.Sheet))
	if len(faults) > 0 {
		return faults
	}
	f.fields = fields
	f.ctx, f.cancel = context.WithCancel(ctx)
	p := platform.New()
	p.InstanceLag = 0
	var err error
	if f.platform, _, err = f.startStandIn("", "", "", "", p.Run, &p.Ready); err != nil {
		return err
	}
	for i := range f.Engines {
		if err := f.AddEngine(i); err != nil {
			return err
		}
	}
	for i := range f.Services {
		if err := f.addService(i); err != nil {
			return err
		}
	}
	for i := range f.Daemons {
		if err := f.AddDaemon(i); err != nil {
			return err
		}
	}
	if _, err := f.daemons[0].Operator().Apply(ctx, f.Sheet, nil); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// Close stops the daemons and the stand-ins and waits for them. It returns the first error of a daemon, including the
// error that an earlier call of Daemon.Stop has returned.
func (f *Fleet) Close() error {
	var first error
	for _, d := range f.daemons {
		if err := d.Stop(); err != nil && first == nil {
			first = err
		}
	}
	f.cancel()
	f.group.Wait()
	return first
}

// Platform returns the platform's address.
func (f *Fleet) Platform() string { return f.platform }

// EngineNodes returns the engines in the order in which they were started.
func (f *Fleet) EngineNodes() []*Node { return f.engines }

// ServiceNodes returns the service runners in the order in which they were started.
func (f *Fleet) ServiceNodes() []*Node { return f.services }

// DaemonNodes returns the daemons in the order in which they were started, including stopped ones.
func (f *Fleet) DaemonNodes() []*Daemon { return f.daemons }

// Fields returns the parsed sheet.
func (f *Fleet) Fields() config.Fields { return f.fields }

// Spec returns the spec (name@version) of the first model in the sheet.
func (f *Fleet) Spec() string {
	m := f.fields.Models[0]
	return m.Name + "@" + m.Version
}

// AddEngine starts an engine that serves the first model in the sheet with its adapters. The index i determines its
// place and seed. EngineNodes also lists an engine whose start or registration failed.
func (f *Fleet) AddEngine(i int) error {
	m := f.fields.Models[0]
	model := engine.Model{Name: m.Name, Version: m.Version}
	for _, a := range m.Adapters {
		model.Adapters = append(model.Adapters, engine.Adapter{Name: a.Name, Version: a.Version})
	}
	s := engine.New()
	s.Seed, s.Place, s.Models, s.CheckFencingToken = uint64(i+1), f.place(i), []engine.Model{model}, m.Fencing
	if f.Engine != nil {
		f.Engine(i, s)
	}
	address, cancel, err := f.startStandIn("model", m.Name, s.Place, s.Incarnation(), s.Run, &s.Ready)
	f.engines = append(f.engines, &Node{address: address, place: s.Place, cancel: cancel})
	return err
}

func (f *Fleet) addService(i int) error {
	s := service.New()
	s.Place = f.place(i)
	if f.Service != nil {
		f.Service(i, s)
	}
	address, cancel, err := f.startStandIn("service", f.fields.Services[0].Name, s.Place, s.Incarnation(), s.Run, &s.Ready)
	f.services = append(f.services, &Node{address: address, place: s.Place, cancel: cancel})
	return err
}

// AddDaemon starts a daemon. The index i determines its place.
func (f *Fleet) AddDaemon(i int) error {
	s := settings.Defaults()
	s.Place, s.Platform = f.place(i), f.platform
	s.OperatorKeyDigest, s.CursorKeys = config.KeyDigest(operatorKey), []string{cursorKey}
	s.Timeouts.DrainDelay.Duration = 50 * time.Millisecond
	for _, address := range []*string{&s.Listen, &s.OperatorListen, &s.PeerListen} {
		free, err := freeAddress(f.ctx)
		if err != nil {
			return err
		}
		*address = free
	}
	if f.Settings != nil {
		f.Settings(i, &s)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	d := &Daemon{settings: s, options: f.Options, cancel: cancel, done: make(chan struct{})}
	f.daemons = append(f.daemons, d)
	ready := make(chan struct{})
	f.group.Go(func() { d.run(ctx, f.Log, ready) })
	select {
	case <-ready:
		return nil
	case <-d.done:
		return d.err
	}
}

func (d *Daemon) run(ctx context.Context, log *logrus.Logger, ready chan struct{}) {
	defer close(d.done)
	if log == nil {
		log = logrus.New()
		log.SetLevel(logrus.PanicLevel)
		log.SetOutput(os.Stderr)
	}
	d.err = daemon.Run(ctx, d.settings, log, func() { close(ready) }, d.options...)
}

// startStandIn starts a stand-in and registers it at the platform unless kind is empty. It returns the bound address.
func (f *Fleet) startStandIn(
	kind, name, place, incarnation string, run func(context.Context) error, ready *func(string),
) (string, context.CancelFunc, error) {
	ctx, cancel := context.WithCancel(f.ctx)
	address, failed := make(chan string, 1), make(chan error, 1)
	*ready = func(bound string) { address <- bound }
	f.group.Go(func() {
		if err := run(ctx); err != nil {
			failed <- err
		}
	})
	select {
	case err := <-failed:
		return "", cancel, err
	case bound := <-address:
		if kind == "" {
			return bound, cancel, nil
		}
		return bound, cancel, standin.Register(ctx, f.platform, standin.Instance{
			Address: bound, Incarnation: incarnation, Place: place, Kind: kind, Name: name, State: "live",
		})
	}
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, d := range f.daemons {
		for !d.isReady(ctx) {
			if ctx.Err() != nil {
				return NotReadyError{Daemon: d.Address()}
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

func (f *Fleet) place(i int) string { return f.fields.Places[i%len(f.fields.Places)] }

// addressCount is the number of addresses that freeAddress has chosen in this process.
var addressCount atomic.Uint32

// freeAddress returns a loopback IP address with a port that is unused on it. The next 249 calls return other IP
// addresses: on a shared one, another listener or connection could take the port before it is used.
func freeAddress(ctx context.Context) (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 30+pid%200, 1+pid/200%250, 1+addressCount.Add(1)%250)
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return fmt.Sprint(socket.Addr()), socket.Close()
}
