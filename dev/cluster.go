// Package dev runs a complete fleet in one process for local trials: stand-ins for the platform and the backend servers, and real entry VMs on
// loopback ports, with the sample declarations in examples/rutnat.
package dev

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/ctl"
	"example.org/comfreyrouter/daemon"
	"example.org/comfreyrouter/declare"
	"example.org/comfreyrouter/examples"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/logclient"
	"example.org/comfreyrouter/operatorapi"
	"example.org/comfreyrouter/settings"
)

// Options configure a Cluster.
type Options struct {
	Logger zerolog.Logger
	// OnStart is called with the server's name for every task that starts on a backend server. It may be nil.
	OnStart func(server string, t backend.Task)
}

// Cluster is a running fleet: the stand-ins and the entry VMs.
type Cluster struct {
	options      Options
	platform     *platform.Server
	core         *platform.Core
	declarations *declare.Declarations
	servers      map[string]*serverProcess
	entries      []*entryVM
	// Keys maps each team to one of its keys.
	Keys map[string]string
}

// anyPort lets the system choose a free port on the loopback interface.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// Start starts a fleet and waits until every entry VM accepts requests.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{options: o, servers: map[string]*serverProcess{}, Keys: map[string]string{}}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.loadDeclarations(); err != nil {
		return err
	}
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startServers(); err != nil {
		return err
	}
	for _, name := range sorted(c.declarations.Config.EntryVMs) {
		if err := c.StartEntry(ctx, name); err != nil {
			return err
		}
	}
	if err := c.applyDeclarations(ctx); err != nil {
		return err
	}
	return c.awaitServing(ctx)
}

func (c *Cluster) loadDeclarations() error {
	files, err := fs.Sub(examples.Files, "rutnat")
	if err != nil {
		return err
	}
	c.declarations, err = declare.LoadFS(files, "examples/rutnat")
	return err
}

// listLag is the delay after which a change shows in the stand-in's list of VMs.
const listLag = 2 * time.Second

func (c *Cluster) startPlatform() error {
	c.core = platform.NewCore(platform.Options{ListLag: listLag, Reboot: c.reboot})
	server, err := platform.Listen(anyPort.String(), c.core)
	if err != nil {
		return err
	}
	c.platform = server
	return nil
}

func (c *Cluster) startServers() error {
	config := c.declarations.Config
	for _, name := range sorted(config.Servers) {
		declared := config.Servers[name]
		s := &serverProcess{name: name, slots: declared.Slots, address: anyPort.String(), onStart: c.options.OnStart}
		if err := s.start(); err != nil {
			return err
		}
		c.servers[name] = s
		declared.Address = s.address
		config.Servers[name] = declared
		c.core.SetVM(logclient.VM{Name: name, Address: s.address, State: logclient.VMLive})
	}
	return nil
}

func (c *Cluster) reboot(_ context.Context, name string) error {
	s, ok := c.servers[name]
	if !ok {
		return fmt.Errorf("VM %q does not exist", name)
	}
	s.kill()
	return s.start()
}

// KillServer stops a backend server abruptly, as a crash would.
func (c *Cluster) KillServer(name string) { c.servers[name].kill() }

// entryVM is a running entry VM. Its result is sent to done when it stops.
type entryVM struct {
	name      string
	addresses daemon.Addresses
	cancel    context.CancelFunc
	done      chan error
}

// StartEntry starts an entry VM. To replace a stopped entry VM, pass its name.
func (c *Cluster) StartEntry(ctx context.Context, name string) error {
	s := settings.Settings{
		Name:            name,
		DataCentre:      c.declarations.Config.EntryVMs[name].DataCentre,
		CallerAddress:   anyPort,
		OperatorAddress: anyPort,
		PeerAddress:     anyPort,
		PlatformAddress: netip.MustParseAddrPort(c.platform.Addr()),
		DrainTimeout:    settings.DefaultDrainTimeout,
		Limits:          settings.DefaultLimits(),
	}
	for _, e := range c.entries {
		s.Peers = append(s.Peers, netip.MustParseAddrPort(e.addresses.Peer))
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e := &entryVM{name: name, cancel: cancel, done: make(chan error, 1)}
	listening := make(chan daemon.Addresses, 1)
	logger := c.options.Logger.With().Str("entry_vm", name).Logger()
	go func() {
		e.done <- daemon.Run(runCtx, daemon.Options{
			Settings: s, Logger: logger, OnListening: func(a daemon.Addresses) { listening <- a },
		})
	}()
	select {
	case e.addresses = <-listening:
	case err := <-e.done:
		cancel()
		return err
	}
	c.entries = append(c.entries, e)
	c.core.SetVM(logclient.VM{Name: name, Address: e.addresses.Peer, State: logclient.VMLive})
	return nil
}

// StopEntry shuts an entry VM down gracefully.
func (c *Cluster) StopEntry(name string) error {
	i := slices.IndexFunc(c.entries, func(e *entryVM) bool { return e.name == name })
	if i < 0 {
		return fmt.Errorf("entry VM %q is not running", name)
	}
	e := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	e.cancel()
	return <-e.done
}

// CallerAddresses returns the addresses on which the entry VMs serve callers.
func (c *Cluster) CallerAddresses() []string {
	var out []string
	for _, e := range c.entries {
		out = append(out, e.addresses.Caller)
	}
	return out
}

// OperatorAddresses returns the addresses on which the entry VMs serve operators.
func (c *Cluster) OperatorAddresses() []string {
	var out []string
	for _, e := range c.entries {
		out = append(out, e.addresses.Operator)
	}
	return out
}

// Client returns a client of the first entry VM's operator API.
func (c *Cluster) Client() (*ctl.Client, error) { return ctl.NewClient(c.OperatorAddresses()[0], "") }

// Config returns the active configuration, read through the operator API.
func (c *Cluster) Config(ctx context.Context) (*fleet.Config, error) {
	client, err := c.Client()
	if err != nil {
		return nil, err
	}
	current := fleet.NewConfig()
	return current, client.Call(ctx, "GET", "/v1/config", nil, current)
}

// applyDeclarations applies the declarations through the operator API and adds a key for every team.
func (c *Cluster) applyDeclarations(ctx context.Context) error {
	client, err := c.Client()
	if err != nil {
		return err
	}
	current, err := c.Config(ctx)
	if err != nil {
		return err
	}
	var accepted operatorapi.Accepted
	apply := operatorapi.Apply{
		Guard:   operatorapi.Guard{ID: "dev-declarations", Expect: &current.Version, By: "dev"},
		Changes: declare.Diff(current, c.declarations),
	}
	if err := client.Call(ctx, "POST", "/v1/apply", apply, &accepted); err != nil {
		return err
	}
	for _, team := range sorted(c.declarations.Config.Teams) {
		key := rand.Text()
		add := operatorapi.AddKey{
			Guard: operatorapi.Guard{ID: "dev-key-" + team, Expect: &accepted.Version, By: "dev"},
			KeyID: "key-" + team, Team: team, Hash: keys.Hash(key),
		}
		if err := client.Call(ctx, "POST", "/v1/keys", add, &accepted); err != nil {
			return err
		}
		c.Keys[team] = key
	}
	return nil
}

// pollInterval is the time between two checks of an entry VM's status.
const pollInterval = 20 * time.Millisecond

// awaitServing waits until every entry VM is ready and has the keys of all teams, which are added after the declarations.
func (c *Cluster) awaitServing(ctx context.Context) error {
	want := len(c.declarations.Config.Teams)
	for _, address := range c.OperatorAddresses() {
		client, err := ctl.NewClient(address, "")
		if err != nil {
			return err
		}
		for {
			var status operatorapi.ClusterStatus
			current := fleet.NewConfig()
			err := errors.Join(
				client.Call(ctx, "GET", "/v1/status", nil, &status),
				client.Call(ctx, "GET", "/v1/config", nil, current))
			if err != nil {
				return err
			}
			if status.Node.Ready && len(current.Keys) >= want {
				break
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close shuts down all entry VMs gracefully and in parallel, and then stops the stand-ins.
func (c *Cluster) Close() error {
	var group sync.WaitGroup
	errs := make([]error, len(c.entries))
	for i, e := range c.entries {
		group.Go(func() {
			e.cancel()
			errs[i] = <-e.done
		})
	}
	group.Wait()
	for _, s := range c.servers {
		s.kill()
	}
	if c.platform != nil {
		errs = append(errs, c.platform.Close())
	}
	return errors.Join(errs...)
}

// sorted returns the keys of a map in order.
func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
