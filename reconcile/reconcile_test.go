package reconcile

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/samplefleet"
	"example.org/comfreyrouter/internal/testenv"
)

func TestMain(m *testing.M) { testenv.Main(m) }

var errNoAnswer = errors.New("no answer")

type fakeServer struct {
	epoch       uint64
	draining    bool
	running     int
	unreachable bool
}

// fakeFleet simulates a fleet with one log, servers, a platform, and entry VMs whose stores may lag behind the log.
type fakeFleet struct {
	log         []fleet.Batch
	servers     map[string]*fakeServer // by address
	reboots     map[string]bool        // keys of the reboots that the platform has executed
	vmStates    map[string]string      // states of VMs according to the platform, by name
	interrupted int                    // tasks that were running at a reboot
	// delaying is set while the network delays drain and undrain calls. They are delivered later, in the order of delayed.
	delaying bool
	delayed  []func()
}

func (f *fakeFleet) append(writer string, c fleet.Command) {
	f.log = append(f.log, fleet.Batch{Writer: writer, Seq: uint64(len(f.log) + 1), Commands: []fleet.Command{c}})
}

func (f *fakeFleet) call(address string, change func(*fakeServer)) (backend.Status, error) {
	s := f.servers[address]
	if s.unreachable {
		return backend.Status{}, errNoAnswer
	}
	change(s)
	return backend.Status{Draining: s.draining, PoolEpoch: s.epoch, RunningCount: s.running}, nil
}

func (f *fakeFleet) Status(_ context.Context, address string) (backend.Status, error) {
	return f.call(address, func(*fakeServer) {})
}

func (f *fakeFleet) set(address string, epoch uint64, draining bool) (backend.Status, error) {
	change := func(s *fakeServer) {
		if epoch >= s.epoch {
			s.epoch, s.draining = epoch, draining
		}
	}
	if f.delaying {
		f.delayed = append(f.delayed, func() { change(f.servers[address]) })
		return backend.Status{}, errNoAnswer
	}
	return f.call(address, change)
}

func (f *fakeFleet) Drain(_ context.Context, address string, epoch uint64) (backend.Status, error) {
	return f.set(address, epoch, true)
}

func (f *fakeFleet) Undrain(_ context.Context, address string, epoch uint64) (backend.Status, error) {
	return f.set(address, epoch, false)
}

func (f *fakeFleet) VMs(context.Context) (map[string]string, error) { return f.vmStates, nil }

func (f *fakeFleet) Reboot(_ context.Context, vm, key string) error {
	if f.reboots[key] {
		return nil
	}
	f.reboots[key] = true
	s := f.servers[address(vm)]
	f.interrupted += s.running
	*s = fakeServer{}
	return nil
}

var addresses = func() map[string]string {
	out := map[string]string{}
	for _, c := range samplefleet.Changes(size) {
		if c.Server != nil {
			out[c.Server.Name] = c.Server.Value.Address
		}
	}
	return out
}()

var size = samplefleet.Size{Servers: 6, Pools: 2, Teams: 1, EntryVMs: 2, DataCentres: 1, Regions: 1}

func address(vm string) string { return addresses[vm] }

// entryVM is one reconciler with a store that may lag behind the log.
type entryVM struct {
	*Reconciler
	fake  *fakeFleet
	store *fleet.Store
	id    string
}

func (e *entryVM) catchUp(upTo int) {
	for int(e.store.Offset()) < min(upTo, len(e.fake.log)) {
		i := e.store.Offset()
		e.store.Apply(i+1, e.fake.log[i])
	}
}

// Submit appends commands to the log and applies them, like a VM that reads back its own batch.
func (e *entryVM) Submit(_ context.Context, commands ...fleet.Command) ([]fleet.Result, error) {
	var results []fleet.Result
	for _, c := range commands {
		e.fake.append(e.id, c)
		e.catchUp(len(e.fake.log) - 1)
		last := len(e.fake.log) - 1
		var out []fleet.Result
		e.store.View(func(s *fleet.State) { out = s.Apply(uint64(last+1), e.fake.log[last]) })
		results = append(results, out...)
	}
	return results, nil
}

func (e *entryVM) Confirmed() bool              { return true }
func (e *entryVM) RunningTasks() map[string]int { return nil }

func newFakeFleet() (*fakeFleet, []*entryVM) {
	f := &fakeFleet{servers: map[string]*fakeServer{}, reboots: map[string]bool{}, vmStates: map[string]string{}}
	for _, a := range addresses {
		f.servers[a] = &fakeServer{}
	}
	f.append("setup", fleet.Command{Configure: &fleet.Configure{ID: "setup", Changes: samplefleet.Changes(size)}})
	var vms []*entryVM
	for i := range size.EntryVMs {
		e := &entryVM{fake: f, store: fleet.NewStore(), id: fmt.Sprintf("incarnation-%d", i)}
		f.append(e.id, fleet.Command{Join: &fleet.Join{VM: samplefleet.EntryVM(i), DataCentre: "dc-0"}})
		e.Reconciler = New(Options{
			Store: e.store, Submitter: e, Servers: f, Platform: f, View: e, Incarnation: e.id, DataCentre: "dc-0", Logger: zerolog.Nop(),
			MaxConcurrent: 1, // makes the order of calls deterministic
		})
		vms = append(vms, e)
	}
	for _, state := range []fleet.WaveState{fleet.WavePlanned, fleet.WaveRunning} {
		f.append(vms[0].id, fleet.Command{Wave: &fleet.SetWave{Name: "w", State: state}})
	}
	return f, vms
}

// deliverDelayed delivers the oldest delayed call.
func (f *fakeFleet) deliverDelayed() {
	if len(f.delayed) > 0 {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
	}
}

// violation applies the whole log to a separate state and describes a violated invariant, if any.
func (f *fakeFleet) violation() string {
	if f.interrupted > 0 {
		return fmt.Sprintf("%d tasks were interrupted by a reboot", f.interrupted)
	}
	state := fleet.NewState()
	for i, b := range f.log {
		state.Apply(uint64(i+1), b)
	}
	rebooted := map[string]bool{}
	for key := range f.reboots {
		vm, _, _ := strings.Cut(key, "/")
		rebooted[vm] = true
	}
	for vm := range state.Waves["w"].Maintained {
		if !rebooted[vm] {
			return vm + " counts as maintained and was never rebooted"
		}
	}
	return ""
}

// startTask starts a task as an entry VM with this store would, and reports whether the server accepted it.
func (e *entryVM) startTask(vm string) bool {
	var v fleet.VM
	e.store.View(func(s *fleet.State) { v = s.VMs[vm] })
	s := e.fake.servers[address(vm)]
	if !v.Available() || s.unreachable || s.draining || v.Epoch < s.epoch {
		return false
	}
	s.running++
	return true
}

// TestWaveInterruptsNoTask guards against a reboot of a server that still runs tasks, for any order in which lagging entry VMs drive
// drains, start tasks, lose contact with servers and read the log.
func TestWaveInterruptsNoTask(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type operation struct{ kind, vm, server int }
		operations := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) operation {
			return operation{rapid.IntRange(0, 10).Draw(rt, "kind"), rapid.IntRange(0, 1).Draw(rt, "vm"), rapid.IntRange(0, 5).Draw(rt, "server")}
		}), 100, 400).Draw(rt, "operations")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			f, vms := newFakeFleet()
			for _, op := range operations {
				e := vms[op.vm]
				name := samplefleet.Server(op.server)
				s := f.servers[address(name)]
				switch op.kind {
				case 0, 1, 2, 7, 8:
					e.Round(t.Context())
				case 3:
					e.catchUp(int(e.store.Offset()) + op.server)
				case 4:
					e.startTask(name)
				case 5:
					s.running = max(0, s.running-1)
				case 6:
					s.unreachable = !s.unreachable
				case 9:
					f.delaying = !f.delaying
				case 10:
					f.deliverDelayed()
				}
				time.Sleep(time.Second)
				if failure = f.violation(); failure != "" {
					return
				}
			}
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// TestWaveCompletes guards against a wave that stops half-way, and checks that each VM is rebooted exactly once.
func TestWaveCompletes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, vms := newFakeFleet()
		require.True(t, func() bool { vms[0].catchUp(len(f.log)); return vms[0].startTask(samplefleet.Server(0)) }())
		for round := range 200 {
			for _, e := range vms {
				e.catchUp(len(f.log))
				e.Round(t.Context())
			}
			if round == 50 {
				f.servers[address(samplefleet.Server(0))].running = 0
			}
			time.Sleep(time.Second)
		}
		vms[0].store.View(func(s *fleet.State) {
			assert.Equal(t, fleet.WaveDone, s.Waves["w"].State)
			for name, v := range s.VMs {
				assert.True(t, v.Available(), name)
				assert.False(t, f.servers[address(name)].draining, name)
			}
		})
		assert.Len(t, f.reboots, size.Servers)
		assert.Zero(t, f.interrupted)
	})
}

// TestLeavingVMIsReportedDown guards against starting new tasks on a VM that still answers but is leaving according to the platform.
func TestLeavingVMIsReportedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, vms := newFakeFleet()
		name := samplefleet.Server(3)
		down := func() bool {
			for range 6 {
				for _, e := range vms {
					e.catchUp(len(f.log))
					e.Round(t.Context())
				}
				time.Sleep(time.Second)
			}
			var v fleet.VM
			vms[0].store.View(func(s *fleet.State) { v = s.VMs[name] })
			return v.Down
		}
		f.vmStates[name] = "leaving"
		assert.True(t, down())
		f.vmStates[name] = platformLive
		assert.False(t, down())
	})
}
