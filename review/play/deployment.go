package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"radishhollow/platform/platformtest"
)

// Values of the settings, those of the site acec-tempisque.
const (
	memoryMB  = 134
	heartbeat = 1200 * time.Millisecond
	drainMS   = 2000
)

var placeholders = map[string]string{
	"bounds.retry_budget_ratio": "0.8", "bounds.budget_slack": "150", "bounds.retry_window_s": "10", "bounds.grace_s": "8",
	"bounds.drain_ms": fmt.Sprint(drainMS), "bounds.config_apply_ms": "2000", "limits.memory_mb": fmt.Sprint(memoryMB),
}

// program is the build of the deploy file, below the repository's root, where a play starts.
const program = "target/radishhollow"

// daemon is one process of the project.
type daemon struct {
	name      string
	listen    string
	readiness string
	settings  string
	process   *exec.Cmd
	ended     chan struct{}
}

// deployment is a store with its daemons.
type deployment struct {
	play    *play
	store   *platformtest.Store
	daemons []*daemon
	version int
}

// newDeployment starts the store with a configuration. The caller starts daemons and calls close.
func newDeployment(p *play, configuration map[string]any) (*deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	d := &deployment{play: p, store: platformtest.NewStore()}
	return d, d.configure(configuration)
}

// configure writes the next version of the configuration.
func (d *deployment) configure(configuration map[string]any) error {
	d.version++
	configuration["version"] = d.version
	value, err := json.Marshal(configuration)
	if err != nil {
		return err
	}
	d.store.Put("op/config", string(value))
	d.play.record.add("configuration %d is acknowledged", d.version)
	return nil
}

func (d *deployment) close() {
	for _, one := range d.daemons {
		one.end()
	}
	d.store.CloseClientConnections()
	d.store.Close()
}

// startDaemon starts another daemon and waits until it is ready.
func (d *deployment) startDaemon() (*daemon, error) {
	addresses := make([]string, 4)
	for i := range addresses {
		address, err := freeAddress(d.play.ctx)
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	one := &daemon{name: fmt.Sprintf("daemon-%d", len(d.daemons)+1), listen: addresses[0], readiness: addresses[1]}
	text, err := settingsText(d.store.Address(), addresses)
	if err != nil {
		return nil, err
	}
	one.settings = filepath.Join(d.play.dir, one.name+".toml")
	if err := os.WriteFile(one.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.daemons = append(d.daemons, one)
	return one, one.start(d.play)
}

// sections are the parts of the template that a value of the platform turns on.
var sections = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}`)

// settingsText fills in the template of the deploy file.
func settingsText(store string, addresses []string) (string, error) {
	template, err := os.ReadFile("deploy/entry.toml")
	if err != nil {
		return "", err
	}
	_, port, _ := strings.Cut(addresses[2], ":")
	_, lastPort, _ := strings.Cut(addresses[3], ":")
	pairs := []string{
		"{{zone}}", "canas", "{{listen.frontend}}", addresses[0], "{{listen.readiness}}", addresses[1],
		"{{ip}}", "127.0.0.1", "{{port_range.0}}", port, "{{port_range.1}}", lastPort, "{{platform.address}}", store,
	}
	for name, value := range placeholders {
		pairs = append(pairs, "{{"+name+"}}", value)
	}
	// A section is filled in only where the platform has its value, as on deployments with roll-outs.
	withoutSections := sections.ReplaceAllString(string(template), "")
	text := strings.NewReplacer(pairs...).Replace(withoutSections)
	if strings.Contains(text, "{{") {
		return "", errors.New("deploy/entry.toml has a placeholder that is not known here")
	}
	return text, nil
}

// start starts the process, as the deploy file does, and waits until it is ready.
func (o *daemon) start(p *play) error {
	o.process = exec.Command(program, "serve", "--settings", o.settings) //nolint:gosec,noctx // end stops the process.
	o.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GIN_MODE=release"}
	log, err := os.OpenFile(o.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	o.process.Stdout, o.process.Stderr = log, log
	o.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := o.process.Start(); err != nil {
		return err
	}
	o.ended = make(chan struct{})
	go func() {
		_ = o.process.Wait()
		close(o.ended)
	}()
	p.record.add("%s starts, process %d, callers at %s", o.name, o.process.Process.Pid, o.listen)
	for p.ctx.Err() == nil {
		if o.ready(p.ctx) {
			p.record.add("%s is ready", o.name)
			return nil
		}
		p.sleep(50 * time.Millisecond)
	}
	return p.ctx.Err()
}

// ready asks as the platform's load balancer does.
func (o *daemon) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.readiness+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end kills the process.
func (o *daemon) end() {
	if o.process != nil && o.process.Process != nil {
		_ = o.process.Process.Kill()
		<-o.ended
	}
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(ctx context.Context) (string, error) {
	socket, err := listen(ctx, "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return socket.Addr().String(), socket.Close()
}
