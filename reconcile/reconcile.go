// Package reconcile brings the backend servers into the phases that the fold, the deterministic state machine over the log, has decided:
// it drives drains, reboots and moves step by step. Every step may be repeated, and another entry VM may take it over at any time,
// because it carries the VM's phase epoch, which increases with every change of phase or pool.
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
	// VMs returns the state of each VM by name: live, leaving or gone. The states may be out of date.
	VMs(ctx context.Context) (map[string]string, error)
	// Reboot reboots a VM. The platform executes it only once for each key.
	Reboot(ctx context.Context, vm, key string) error
}

// View is the part of the entry VM's view of the fleet that the reconciler needs.
type View interface {
	// Confirmed reports whether the log has been read so recently that the state counts as current.
	Confirmed() bool
	// RunningTasks returns the number of running tasks in the whole fleet, by backend server.
	RunningTasks() map[string]int
}

// Options are the settings of a Reconciler.
type Options struct {
	Store       *fleet.Store
	Submitter   logclient.Submitter
	Servers     Servers
	Platform    Platform
	View        View
	Incarnation string // identifies this run of the entry VM's process among the members of the fold
	DataCentre  string
	Logger      zerolog.Logger
	Interval    time.Duration // time between rounds
	Timeout     time.Duration // limit for each call to a server, the platform or the log
	// MaxConcurrent is the maximum number of servers called at the same time. Calls are concurrent so that servers that don't answer
	// don't hold up a round.
	MaxConcurrent int
	// DownAfter is the time without an answer after which a server is reported down.
	DownAfter time.Duration
}

// Default values of the fields of Options.
const (
	DefaultInterval      = time.Second
	DefaultTimeout       = 2 * time.Second
	DefaultDownAfter     = 10 * time.Second
	DefaultMaxConcurrent = 16
)

// servingRounds is the number of rounds between two checks of a serving VM. VMs in other phases are checked in every round. This keeps the
// control traffic of an entry VM within its bound at 600 servers.
const servingRounds = 5

// Reconciler drives the backend servers that one entry VM is responsible for.
type Reconciler struct {
	options Options
	round   uint64

	mu            sync.Mutex
	silentSince   map[string]time.Time // time of the first call without an answer, by VM; empty for servers that answer
	servingEpochs map[string]uint64    // phase epoch at which each server was last known to serve, by VM
}

// New returns a reconciler. Options that are zero get their default values.
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
	return &Reconciler{options: o, silentSince: map[string]time.Time{}, servingEpochs: map[string]uint64{}}
}

// Run runs a round per interval until ctx is done.
func (r *Reconciler) Run(ctx context.Context) error {
	ticker := time.NewTicker(r.options.Interval)
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

// assignment is a VM that this entry VM is responsible for in the current round.
type assignment struct {
	name          string
	vm            fleet.VM
	server        fleet.BackendServer
	abandonReason string // reason to abandon the drain, empty if it may go on
}

// Round takes one step for each VM that this entry VM is responsible for. If this member is the proposer, it then fences members that
// are gone and proposes new drains and moves.
func (r *Reconciler) Round(ctx context.Context) {
	r.round++
	vmStates := r.vmStates(ctx)
	var group errgroup.Group
	group.SetLimit(r.options.MaxConcurrent)
	for _, a := range r.assignments() {
		if !r.due(a) {
			continue
		}
		group.Go(func() error {
			r.step(ctx, a, vmStates[a.name])
			return nil
		})
	}
	_ = group.Wait()
	if !r.isProposer() {
		return
	}
	r.fenceGone(ctx, vmStates)
	if r.options.View.Confirmed() {
		r.proposeDrains(ctx)
		r.proposeMove(ctx)
	}
}

// due reports whether a VM is checked in this round. Available VMs whose servers are known to serve at the current phase epoch are
// checked once in servingRounds rounds, and their checks are spread over these rounds.
func (r *Reconciler) due(a assignment) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.vm.Available() || r.servingEpochs[a.name] != a.vm.Epoch {
		return true
	}
	return rendezvousHash(a.name, "")%servingRounds == r.round%servingRounds
}

// vmStates returns the state of each VM according to the platform, or nil if the platform doesn't answer.
func (r *Reconciler) vmStates(ctx context.Context) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	vms, err := r.options.Platform.VMs(ctx)
	if err != nil {
		return nil
	}
	return vms
}

// assignments returns the VMs that rendezvous hashing assigns to this incarnation, sorted by name.
func (r *Reconciler) assignments() []assignment {
	var out []assignment
	r.options.Store.View(func(s *fleet.State) {
		for name, vm := range s.VMs {
			server := s.Config.Servers[name]
			if responsibleMember(s, name, server.DataCentre) != r.options.Incarnation {
				continue
			}
			reason, abandon := maintenance.ShouldAbandon(s, name)
			if !abandon {
				reason = ""
			}
			out = append(out, assignment{name: name, vm: vm, server: server, abandonReason: reason})
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

// responsibleMember returns the incarnation with the highest rendezvous hash for a name among the live members of the data centre, or
// among all live members if the data centre has none.
func responsibleMember(s *fleet.State, name, centre string) string {
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
		h := rendezvousHash(name, id)
		if inCentre && !local || best == "" || h > bestHash || h == bestHash && id > best {
			best, bestHash = id, h
		}
		local = local || inCentre
	}
	return best
}

// rendezvousHash returns the rendezvous hash of a name and an incarnation.
func rendezvousHash(name, incarnation string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "\x00" + incarnation))
	return h.Sum64()
}

// isProposer reports whether this member is the one that fences members and proposes drains and moves in this round. Any member may do
// so: the choice of one only avoids needless proposals.
func (r *Reconciler) isProposer() bool {
	chosen := false
	r.options.Store.View(func(s *fleet.State) { chosen = responsibleMember(s, "proposals", "") == r.options.Incarnation })
	return chosen
}

// step takes the next step for one VM. platformState is the VM's state according to the platform, empty if unknown. callCtx limits the calls
// to the server and the platform; submissions to the log have a limit of their own.
func (r *Reconciler) step(ctx context.Context, a assignment, platformState string) {
	callCtx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	status, err := r.options.Servers.Status(callCtx, a.server.Address)
	r.reportHealth(ctx, a, err, platformState)
	if err != nil {
		return
	}
	switch a.vm.Phase {
	case fleet.Serving:
		r.stepServing(callCtx, a, status)
	case fleet.Draining:
		r.stepDraining(ctx, callCtx, a)
	case fleet.Rebooting:
		r.stepRebooting(ctx, callCtx, a, status)
	case fleet.Moving:
		r.stepMoving(ctx, callCtx, a)
	}
}

// stepServing ends the server's drain, unless the server already reports that it serves at the VM's phase epoch or a later one.
func (r *Reconciler) stepServing(callCtx context.Context, a assignment, status backend.Status) {
	if status.Draining || status.PoolEpoch < a.vm.Epoch {
		var err error
		if status, err = r.options.Servers.Undrain(callCtx, a.server.Address, a.vm.Epoch); err != nil {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !status.Draining {
		r.servingEpochs[a.name] = a.vm.Epoch
	}
}

// stepDraining drains the server, and advances to the reboot once the server has confirmed that it is empty. It abandons the drain if
// there is a reason to.
func (r *Reconciler) stepDraining(ctx, callCtx context.Context, a assignment) {
	if a.abandonReason != "" {
		events.Log(r.options.Logger, events.DrainAbandoned, a.name, a.vm.Wave, a.abandonReason)
		r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Serving})
		return
	}
	status, err := r.options.Servers.Drain(callCtx, a.server.Address, a.vm.Epoch)
	if err != nil || !status.Draining || status.RunningCount > 0 || status.PoolEpoch != a.vm.Epoch {
		return
	}
	if r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Rebooting}) {
		events.Log(r.options.Logger, events.DrainEmpty, a.name, a.vm.Wave)
	}
}

// stepRebooting reboots the VM once. A server that no longer drains has been rebooted.
func (r *Reconciler) stepRebooting(ctx, callCtx context.Context, a assignment, status backend.Status) {
	if !status.Draining {
		if r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Serving, Maintained: true}) {
			events.Log(r.options.Logger, events.DrainDone, a.name, a.vm.Wave)
		}
		return
	}
	if status.RunningCount > 0 {
		return
	}
	_ = r.options.Platform.Reboot(callCtx, a.name, rebootKey(a))
}

func rebootKey(a assignment) string { return a.name + "/" + uitoa(a.vm.Epoch) }

// stepMoving drains the server, and assigns it to its new pool once the server has confirmed that it is empty.
func (r *Reconciler) stepMoving(ctx, callCtx context.Context, a assignment) {
	status, err := r.options.Servers.Drain(callCtx, a.server.Address, a.vm.Epoch)
	if err != nil || !status.Draining || status.RunningCount > 0 || status.PoolEpoch != a.vm.Epoch {
		return
	}
	if r.advance(ctx, a, fleet.AdvancePhase{To: fleet.Serving}) {
		events.Log(r.options.Logger, events.MoveDone, a.name, a.vm.MoveTo)
	}
}

// advance submits a change of the VM's phase, and reports whether it took effect.
func (r *Reconciler) advance(ctx context.Context, a assignment, next fleet.AdvancePhase) bool {
	next.VM, next.Epoch = a.name, a.vm.Epoch
	return r.submit(ctx, fleet.Command{Phase: &next})
}

func (r *Reconciler) submit(ctx context.Context, c fleet.Command) bool {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	results, err := r.options.Submitter.Submit(ctx, c)
	return err == nil && len(results) == 1 && results[0].OK()
}
