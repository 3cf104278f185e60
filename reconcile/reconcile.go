// Package reconcile brings the backend servers to the phases that the fold has agreed on: it drives drains, reboots and moves step by
// step. Every step may be repeated and may be taken over by another entry VM at any time, because it carries the phase epoch.
package reconcile

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/logclient"
	"example.org/comfreyrouter/maintenance"
)

// Servers is the part of the backend client that the reconciler needs.
type Servers interface {
	Status(ctx context.Context, address string) (backend.Status, error)
	Drain(ctx context.Context, address string, epoch uint64) (backend.Status, error)
	Undrain(ctx context.Context, address string, epoch uint64) (backend.Status, error)
}

// Platform is the part of the platform that the reconciler needs.
type Platform interface {
	// VMs returns the state of each VM by name: live, leaving or gone. It lags.
	VMs(ctx context.Context) (map[string]string, error)
	// Reboot reboots a VM. The platform executes each key once.
	Reboot(ctx context.Context, vm, key string) error
}

// View tells the reconciler what it needs of the entry VM's own view.
type View interface {
	// Confirmed reports whether the state was confirmed by the log a moment ago.
	Confirmed() bool
	// RunningTasks returns the running tasks by backend server, fleet-wide.
	RunningTasks() map[string]int
}

// Options are the settings of a Reconciler.
type Options struct {
	Store       *fleet.Store
	Submitter   logclient.Submitter
	Servers     Servers
	Platform    Platform
	View        View
	Incarnation string
	DataCentre  string
	Logger      zerolog.Logger
	Interval    time.Duration // time between two rounds
	Timeout     time.Duration // bound on each call to a server or the platform
	// MaxConcurrent bounds the servers that are called at one time, so that silent ones do not hold up a round.
	MaxConcurrent int
	// DownAfter is how long a server must not answer before it is reported down.
	DownAfter time.Duration
}

// Defaults of Options.
const (
	DefaultInterval      = time.Second
	DefaultTimeout       = 2 * time.Second
	DefaultDownAfter     = 10 * time.Second
	DefaultMaxConcurrent = 16
)

// servingRounds is the number of rounds after which a serving VM is looked at again. VMs in other phases are looked at in every round. It
// keeps the control traffic of an entry VM within its bound at 600 servers.
const servingRounds = 5

// Reconciler runs the rounds of one entry VM.
type Reconciler struct {
	o     Options
	round uint64

	mu      sync.Mutex
	silent  map[string]time.Time // since when a server has not answered
	settled map[string]uint64    // phase epoch at which a server was last seen to serve
}

// New returns a reconciler. Zero settings get their defaults.
func New(o Options) *Reconciler {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.DownAfter == 0 {
		o.DownAfter = DefaultDownAfter
	}
	if o.MaxConcurrent == 0 {
		o.MaxConcurrent = DefaultMaxConcurrent
	}
	return &Reconciler{o: o, silent: map[string]time.Time{}, settled: map[string]uint64{}}
}

// Run runs rounds until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.o.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.Round(ctx)
		}
	}
}

// assignment is a VM that this entry VM is responsible for in this round.
type assignment struct {
	name   string
	vm     fleet.VM
	server fleet.BackendServer
	giveUp string
}

// Round does one step for each VM that this entry VM is responsible for, then asks for new drains and moves.
func (r *Reconciler) Round(ctx context.Context) {
	r.round++
	listed := r.listed(ctx)
	var group errgroup.Group
	group.SetLimit(r.o.MaxConcurrent)
	for _, a := range r.assignments() {
		if !r.due(a) {
			continue
		}
		group.Go(func() error {
			r.step(ctx, a, listed[a.name])
			return nil
		})
	}
	_ = group.Wait()
	if !r.leads() {
		return
	}
	r.fenceGone(ctx, listed)
	if r.o.View.Confirmed() {
		r.askForDrains(ctx)
		r.askForMove(ctx)
	}
}

// due spreads the VMs that only serve, and whose servers know it, over several rounds.
func (r *Reconciler) due(a assignment) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.vm.Available() || r.settled[a.name] != a.vm.Epoch {
		return true
	}
	return rank(a.name, "")%servingRounds == r.round%servingRounds
}

// listed returns the platform's list, or nil if it cannot be had.
func (r *Reconciler) listed(ctx context.Context) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, r.o.Timeout)
	defer cancel()
	vms, err := r.o.Platform.VMs(ctx)
	if err != nil {
		return nil
	}
	return vms
}

// assignments returns the VMs whose rendezvous hash falls on this incarnation, among the live members of the VM's data centre, or among all
// if there are none.
func (r *Reconciler) assignments() []assignment {
	var out []assignment
	r.o.Store.View(func(s *fleet.State) {
		for name, vm := range s.VMs {
			server := s.Config.Servers[name]
			if responsible(s, name, server.DataCentre) != r.o.Incarnation {
				continue
			}
			reason, giveUp := maintenance.ShouldAbandon(s, name)
			if !giveUp {
				reason = ""
			}
			out = append(out, assignment{name: name, vm: vm, server: server, giveUp: reason})
		}
	})
	slices.SortFunc(out, func(a, b assignment) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

func responsible(s *fleet.State, name, centre string) string {
	best, bestHash := "", uint64(0)
	local := false
	for id, m := range s.Members {
		if m.Fenced {
			continue
		}
		inCentre := m.DataCentre == centre
		if local && !inCentre {
			continue
		}
		h := rank(name, id)
		if inCentre && !local || best == "" || h > bestHash || h == bestHash && id > best {
			best, bestHash = id, h
		}
		local = local || inCentre
	}
	return best
}

func rank(name, incarnation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + incarnation))
	return h.Sum64()
}

// leads reports whether this member proposes drains and moves in this round. Any member may; the choice only avoids useless proposals.
func (r *Reconciler) leads() bool {
	lead := false
	r.o.Store.View(func(s *fleet.State) { lead = responsible(s, "proposals", "") == r.o.Incarnation })
	return lead
}

// step brings one VM a step further. listed is what the platform's list says of it, empty if nothing.
func (r *Reconciler) step(ctx context.Context, a assignment, listed string) {
	call, cancel := context.WithTimeout(ctx, r.o.Timeout)
	defer cancel()
	status, err := r.o.Servers.Status(call, a.server.Address)
	r.reportHealth(ctx, a, err, listed)
	if err != nil {
		return
	}
	switch a.vm.Phase {
	case fleet.Serving:
		r.stepServing(call, a, status)
	case fleet.Draining:
		r.stepDraining(ctx, call, a)
	case fleet.Rebooting:
		r.stepRebooting(ctx, call, a, status)
	case fleet.Moving:
		r.stepMoving(ctx, call, a)
	}
}

// stepServing tells the server that its VM serves, unless it knows.
func (r *Reconciler) stepServing(call context.Context, a assignment, status backend.Status) {
	if status.Draining || status.PoolEpoch < a.vm.Epoch {
		var err error
		if status, err = r.o.Servers.Undrain(call, a.server.Address, a.vm.Epoch); err != nil {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !status.Draining {
		r.settled[a.name] = a.vm.Epoch
	}
}

// stepDraining drains the server and goes on once it has confirmed that it is empty.
func (r *Reconciler) stepDraining(ctx, call context.Context, a assignment) {
	if a.giveUp != "" {
		events.Log(r.o.Logger, events.DrainAbandoned, a.name, a.vm.Wave, a.giveUp)
		r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Serving})
		return
	}
	status, err := r.o.Servers.Drain(call, a.server.Address, a.vm.Epoch)
	if err != nil || !status.Draining || status.RunningCount > 0 || status.PoolEpoch != a.vm.Epoch {
		return
	}
	if r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Rebooting}) {
		events.Log(r.o.Logger, events.DrainEmpty, a.name, a.vm.Wave)
	}
}

// stepRebooting reboots the VM once. A rebooted server no longer drains.
func (r *Reconciler) stepRebooting(ctx, call context.Context, a assignment, status backend.Status) {
	if !status.Draining {
		if r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Serving, Maintained: true}) {
			events.Log(r.o.Logger, events.DrainDone, a.name, a.vm.Wave)
		}
		return
	}
	if status.RunningCount > 0 {
		return
	}
	_ = r.o.Platform.Reboot(call, a.name, rebootKey(a))
}

func rebootKey(a assignment) string { return a.name + "/" + uitoa(a.vm.Epoch) }

// stepMoving empties the server and hands it over to its new pool.
func (r *Reconciler) stepMoving(ctx, call context.Context, a assignment) {
	status, err := r.o.Servers.Drain(call, a.server.Address, a.vm.Epoch)
	if err != nil || !status.Draining || status.RunningCount > 0 || status.PoolEpoch != a.vm.Epoch {
		return
	}
	if r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Serving}) {
		events.Log(r.o.Logger, events.MoveDone, a.name, a.vm.MoveTo)
	}
}

func (r *Reconciler) advance(ctx context.Context, a assignment, next fleet.AdvancePhase) bool {
	next.VM, next.Epoch = a.name, a.vm.Epoch
	return r.submit(ctx, fleet.Command{Phase: &next})
}

func (r *Reconciler) submit(ctx context.Context, c fleet.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, r.o.Timeout)
	defer cancel()
	results, err := r.o.Submitter.Submit(ctx, c)
	return err == nil && len(results) == 1 && results[0].OK()
}
