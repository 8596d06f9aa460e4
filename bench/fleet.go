// Package bench runs whole deployments in one process on loopback, loads them and measures them.
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

// Fleet is a deployment in one process. Exported fields are set before Start.
type Fleet struct {
	// Sheet is the sheet that is applied once the daemons run.
	Sheet string
	// Engines, Services and Daemons are the numbers of each; they are spread over the sheet's places in turn.
	Engines  int
	Services int
	Daemons  int
	// Engine changes a stand-in engine before it starts; it may be nil.
	Engine func(i int, s *engine.Server)
	// Service changes a stand-in service runner before it starts; it may be nil.
	Service func(i int, s *service.Server)
	// Settings changes a daemon's settings before it starts; it may be nil.
	Settings func(i int, s *settings.Settings)
	// Options are added to each daemon; they may decorate its parts for a measurement.
	Options []fx.Option
	// Log receives the daemons' log; nil discards it.
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

// Node is a stand-in of an endpoint.
type Node struct {
	address string
	place   string
	cancel  context.CancelFunc
}

// Address returns the IP address and port.
func (n *Node) Address() string { return n.address }

// Place returns the place.
func (n *Node) Place() string { return n.place }

// Kill ends the stand-in and cuts its connections.
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

// Address returns the address for callers.
func (d *Daemon) Address() string { return d.settings.Listen }

// Operator returns the client of the operator address.
func (d *Daemon) Operator() operator.Client {
	return operator.Client{Entry: d.settings.OperatorListen, Key: operatorKey}
}

// Stop drains the daemon and waits for its end.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.cancel()
	<-d.done
	return d.err
}

// Start starts everything, applies the sheet and waits until every daemon is ready.
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
	if f.platform, _, err = f.launch("", "", "", "", p.Run, &p.Ready); err != nil {
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

// Close ends everything and waits.
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

// EngineNodes returns the engines in the order of their start.
func (f *Fleet) EngineNodes() []*Node { return f.engines }

// ServiceNodes returns the service runners.
func (f *Fleet) ServiceNodes() []*Node { return f.services }

// DaemonNodes returns the daemons.
func (f *Fleet) DaemonNodes() []*Daemon { return f.daemons }

// Fields returns the parts of the sheet.
func (f *Fleet) Fields() config.Fields { return f.fields }

// Spec returns the spec of the sheet's first model.
func (f *Fleet) Spec() string {
	m := f.fields.Models[0]
	return m.Name + "@" + m.Version
}

// AddEngine starts one more engine with the sheet's first model and its adapters.
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
	address, cancel, err := f.launch("model", m.Name, s.Place, s.Incarnation(), s.Run, &s.Ready)
	f.engines = append(f.engines, &Node{address: address, place: s.Place, cancel: cancel})
	return err
}

func (f *Fleet) addService(i int) error {
	s := service.New()
	s.Place = f.place(i)
	if f.Service != nil {
		f.Service(i, s)
	}
	address, cancel, err := f.launch("service", f.fields.Services[0].Name, s.Place, s.Incarnation(), s.Run, &s.Ready)
	f.services = append(f.services, &Node{address: address, place: s.Place, cancel: cancel})
	return err
}

// AddDaemon starts one more daemon.
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

// launch runs a stand-in and registers it where it has a kind.
func (f *Fleet) launch(
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
		for !d.ready(ctx) {
			if ctx.Err() != nil {
				return NotReadyError{Daemon: d.Address()}
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

func (f *Fleet) place(i int) string { return f.fields.Places[i%len(f.fields.Places)] }

// addresses counts the addresses of this process.
var addresses atomic.Uint32

// freeAddress returns an address with an IP number of its own, because a port that was free may be taken by another
// listener or connection of the same IP number before it is used.
func freeAddress(ctx context.Context) (string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 30+pid%200, 1+pid/200%250, 1+addresses.Add(1)%250)
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return fmt.Sprint(socket.Addr()), socket.Close()
}
