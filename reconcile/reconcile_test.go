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
	epoch    uint64
	draining bool
	running  int
	dead     bool
}

// world is a fake fleet: one log, servers, a platform, and entry VMs whose stores may lag.
type world struct {
	log     []fleet.Batch
	servers map[string]*fakeServer // by address
	reboots map[string]bool        // by key
	listed  map[string]string
	cut     int // tasks that were running at a reboot
	// delaying holds back drain and undrain calls in the network; they land later, in the order of delayed.
	delaying bool
	delayed  []func()
}

func (w *world) append(writer string, c fleet.Command) {
	w.log = append(w.log, fleet.Batch{Writer: writer, Seq: uint64(len(w.log) + 1), Commands: []fleet.Command{c}})
}

func (w *world) call(address string, change func(*fakeServer)) (backend.Status, error) {
	s := w.servers[address]
	if s.dead {
		return backend.Status{}, errNoAnswer
	}
	change(s)
	return backend.Status{Draining: s.draining, PoolEpoch: s.epoch, RunningCount: s.running}, nil
}

func (w *world) Status(_ context.Context, address string) (backend.Status, error) {
	return w.call(address, func(*fakeServer) {})
}

func (w *world) set(address string, epoch uint64, draining bool) (backend.Status, error) {
	change := func(s *fakeServer) {
		if epoch >= s.epoch {
			s.epoch, s.draining = epoch, draining
		}
	}
	if w.delaying {
		w.delayed = append(w.delayed, func() { change(w.servers[address]) })
		return backend.Status{}, errNoAnswer
	}
	return w.call(address, change)
}

func (w *world) Drain(_ context.Context, address string, epoch uint64) (backend.Status, error) {
	return w.set(address, epoch, true)
}

func (w *world) Undrain(_ context.Context, address string, epoch uint64) (backend.Status, error) {
	return w.set(address, epoch, false)
}

func (w *world) VMs(context.Context) (map[string]string, error) { return w.listed, nil }

func (w *world) Reboot(_ context.Context, vm, key string) error {
	if w.reboots[key] {
		return nil
	}
	w.reboots[key] = true
	s := w.servers[address(vm)]
	w.cut += s.running
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
	world *world
	store *fleet.Store
	id    string
}

func (e *entryVM) catchUp(upTo int) {
	for int(e.store.Offset()) < min(upTo, len(e.world.log)) {
		i := e.store.Offset()
		e.store.Apply(i+1, e.world.log[i])
	}
}

// Submit appends and folds, as a VM does that reads its own batch back.
func (e *entryVM) Submit(_ context.Context, commands ...fleet.Command) ([]fleet.Result, error) {
	var results []fleet.Result
	for _, c := range commands {
		e.world.append(e.id, c)
		e.catchUp(len(e.world.log) - 1)
		last := len(e.world.log) - 1
		var out []fleet.Result
		e.store.View(func(s *fleet.State) { out = s.Apply(uint64(last+1), e.world.log[last]) })
		results = append(results, out...)
	}
	return results, nil
}

func (e *entryVM) Confirmed() bool              { return true }
func (e *entryVM) RunningTasks() map[string]int { return nil }

func newWorld() (*world, []*entryVM) {
	w := &world{servers: map[string]*fakeServer{}, reboots: map[string]bool{}, listed: map[string]string{}}
	for _, a := range addresses {
		w.servers[a] = &fakeServer{}
	}
	w.append("setup", fleet.Command{Configure: &fleet.Configure{ID: "setup", Changes: samplefleet.Changes(size)}})
	var vms []*entryVM
	for i := range size.EntryVMs {
		e := &entryVM{world: w, store: fleet.NewStore(), id: fmt.Sprintf("incarnation-%d", i)}
		w.append(e.id, fleet.Command{Join: &fleet.Join{VM: samplefleet.EntryVM(i), DataCentre: "dc-0"}})
		e.Reconciler = New(Options{
			Store: e.store, Submitter: e, Servers: w, Platform: w, View: e, Incarnation: e.id, DataCentre: "dc-0", Logger: zerolog.Nop(),
			MaxConcurrent: 1, // a fixed order of calls
		})
		vms = append(vms, e)
	}
	for _, state := range []fleet.WaveState{fleet.WavePlanned, fleet.WaveRunning} {
		w.append(vms[0].id, fleet.Command{Wave: &fleet.SetWave{Name: "w", State: state}})
	}
	return w, vms
}

// land delivers one delayed call.
func (w *world) land() {
	if len(w.delayed) > 0 {
		w.delayed[0]()
		w.delayed = w.delayed[1:]
	}
}

// violation folds the whole log by itself and returns what must never be.
func (w *world) violation() string {
	if w.cut > 0 {
		return fmt.Sprintf("%d tasks were cut by a reboot", w.cut)
	}
	state := fleet.NewState()
	for i, b := range w.log {
		state.Apply(uint64(i+1), b)
	}
	rebooted := map[string]bool{}
	for key := range w.reboots {
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

// startTask starts a task as an entry VM with this store would, and reports whether the server took it.
func (e *entryVM) startTask(vm string) bool {
	var v fleet.VM
	e.store.View(func(s *fleet.State) { v = s.VMs[vm] })
	s := e.world.servers[address(vm)]
	if !v.Available() || s.dead || s.draining || v.Epoch < s.epoch {
		return false
	}
	s.running++
	return true
}

// TestWaveCutsNoRequest guards against a reboot of a server that still runs tasks, whatever the order in which lagging entry VMs drive drains,
// start tasks, see servers die and read the log.
func TestWaveCutsNoRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type operation struct{ kind, vm, server int }
		operations := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) operation {
			return operation{rapid.IntRange(0, 10).Draw(rt, "kind"), rapid.IntRange(0, 1).Draw(rt, "vm"), rapid.IntRange(0, 5).Draw(rt, "server")}
		}), 100, 400).Draw(rt, "operations")
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			w, vms := newWorld()
			for _, op := range operations {
				e := vms[op.vm]
				name := samplefleet.Server(op.server)
				s := w.servers[address(name)]
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
					s.dead = !s.dead
				case 9:
					w.delaying = !w.delaying
				case 10:
					w.land()
				}
				time.Sleep(time.Second)
				if failure = w.violation(); failure != "" {
					return
				}
			}
		})
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// TestWaveEnds guards against a wave that stops half-way, and checks that each VM is rebooted once.
func TestWaveEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, vms := newWorld()
		require.True(t, func() bool { vms[0].catchUp(len(w.log)); return vms[0].startTask(samplefleet.Server(0)) }())
		for round := range 200 {
			for _, e := range vms {
				e.catchUp(len(w.log))
				e.Round(t.Context())
			}
			if round == 50 {
				w.servers[address(samplefleet.Server(0))].running = 0
			}
			time.Sleep(time.Second)
		}
		vms[0].store.View(func(s *fleet.State) {
			assert.Equal(t, fleet.WaveDone, s.Waves["w"].State)
			for name, v := range s.VMs {
				assert.True(t, v.Available(), name)
				assert.False(t, w.servers[address(name)].draining, name)
			}
		})
		assert.Len(t, w.reboots, size.Servers)
		assert.Zero(t, w.cut)
	})
}

// TestLeavingVMIsReportedDown guards against new work for a VM that the platform calls leaving although it still answers.
func TestLeavingVMIsReportedDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, vms := newWorld()
		name := samplefleet.Server(3)
		down := func() bool {
			for range 6 {
				for _, e := range vms {
					e.catchUp(len(w.log))
					e.Round(t.Context())
				}
				time.Sleep(time.Second)
			}
			var v fleet.VM
			vms[0].store.View(func(s *fleet.State) { v = s.VMs[name] })
			return v.Down
		}
		w.listed[name] = "leaving"
		assert.True(t, down())
		w.listed[name] = listedLive
		assert.False(t, down())
	})
}
