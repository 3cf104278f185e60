package fleettest

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/internal/standin/backendserver"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/logclient"
)

// Sizes and bounds of the fleet under test.
const (
	centres    = 3
	servers    = 5
	slots      = 3
	teamLimit  = 6
	freshness  = fleet.DefaultKeyFreshnessMillis * time.Millisecond
	grantLease = 100 * time.Second // shorter than in production, so that a scenario outlasts it
)

func centreOf(i int) string { return string(rune('a' + i%centres)) }

// world is a whole fleet in one bubble, with its callers and operators.
type world struct {
	core     *platform.Core
	net      *network
	count    int // entry VMs
	observer *logclient.Follower
	truth    *fleet.Store // what the log says, read without faults other than an outage
	jobs     sync.WaitGroup
	stop     chan struct{} // closed to undo all faults
	oracle   *oracle

	mu       sync.Mutex
	rnd      *rand.Rand
	ids      uint64
	vms      []*vm // nil while down
	workers  []*worker
	requests []*request
	keyCount int
	faults   map[string]int // cut callers and data centres, with the number of cuts in force
	ending   bool
}

// run runs a scenario in a fleet and returns the violations that were seen.
func run(t *testing.T, count int, seed uint64, script func(w *world)) []string {
	t.Helper()
	w := &world{
		core: platform.NewCore(platform.Options{}), net: newNetwork(), count: count, truth: fleet.NewStore(), stop: make(chan struct{}),
		rnd: rand.New(rand.NewPCG(seed, 7)), vms: make([]*vm, count), workers: make([]*worker, servers), faults: map[string]int{},
	}
	time.Sleep(time.Hour) // ULIDs are above a floor of zero
	w.oracle = newOracle(w)
	ctx, cancel := context.WithCancel(context.Background())
	w.observer = logclient.NewFollower(logclient.FollowerOptions{Log: w.core.Client(platform.Caller{Name: "observer"}), Store: w.truth})
	w.truth.OnApplied(func(fleet.Applied) { w.oracle.observe() })
	w.core.SetReboot(func(_ context.Context, name string) error {
		i, err := strconv.Atoi(name[1:])
		w.jobs.Go(func() { w.restartServer(i, 3*time.Second) })
		return err
	})
	var observing sync.WaitGroup
	observing.Go(func() { _ = w.observer.Run(ctx) })
	w.configure(w.initial()...)
	for i := range servers {
		w.workers[i] = w.startServer(i)
		w.core.SetVM(logclient.VM{Name: serverName(i), Address: serverAddress(i), State: logclient.VMLive})
	}
	for i := range count {
		w.vms[i] = w.startVM(i)
	}
	time.Sleep(2 * time.Second)
	observing.Go(func() { w.oracle.watch(ctx) })
	script(w)
	w.finish()
	cancel()
	w.core.Close()
	observing.Wait()
	time.Sleep(2 * time.Minute) // tasks and connections end
	return w.oracle.violations
}

func (w *world) seeds() []string {
	var seeds []string
	for i := range w.count {
		seeds = append(seeds, peerAddress(i))
	}
	return seeds
}

// newID returns a ULID that is above all earlier ones.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(time.Now()))
	entropy := make([]byte, 10)
	for i := range 8 {
		entropy[9-i] = byte(w.ids >> (8 * i))
	}
	_ = id.SetEntropy(entropy)
	return id.String()
}

func object[T any](name string, v T) *fleet.Object[T] { return &fleet.Object[T]{Name: name, Value: &v} }

// limited returns the change of varmland's limit. The share is a tag that tells one change from another with the same limit.
func limited(limit, tag int) fleet.Change {
	return fleet.Change{Team: object("varmland", fleet.Team{Share: 1000 + tag, Limit: limit})}
}

func (w *world) initial() []fleet.Change {
	preset := "p0"
	changes := []fleet.Change{
		limited(teamLimit, 0),
		{Team: object("skane", fleet.Team{Share: 1000, Limit: 2 * teamLimit})},
		{Pool: object("pricing", fleet.Pool{Min: 1, MaxUnavailable: 2})},
		{Queue: object("quotes", fleet.Queue{Pool: "pricing", Class: fleet.Urgent})},
		{Queue: object("sheets", fleet.Queue{Pool: "pricing", Class: fleet.Overnight})},
		{Queue: object("counter", fleet.Queue{Pool: "pricing", Class: fleet.Urgent, Open: true, Team: "varmland"})},
		{Preset: object("p0", fleet.Preset{Maintenance: true, MaxDrains: 2})},
		{Preset: object("p1", fleet.Preset{Maintenance: true, MaxDrains: 2, ReservePercent: 20})},
		{InForce: &preset},
	}
	for i := range centres {
		dc := centreOf(i)
		changes = append(changes,
			fleet.Change{Centre: object(dc, fleet.DataCentre{MaxUnavailable: 2})},
			fleet.Change{Rack: object("r"+dc, fleet.Rack{DataCentre: dc, MaxUnavailable: 2})})
	}
	for i := range servers {
		changes = append(changes, fleet.Change{Server: object(serverName(i), fleet.BackendServer{
			Address: serverAddress(i), DataCentre: centreOf(i), Rack: "r" + centreOf(i), Pool: "pricing", Slots: slots, Connections: 64,
		})})
	}
	for i := range w.count {
		changes = append(changes, fleet.Change{EntryVM: object(fmt.Sprintf("e%d", i), fleet.EntryVM{DataCentre: centreOf(i)})})
	}
	for range 3 {
		changes = append(changes, w.newKey())
	}
	return changes
}

// keyName returns the name of key i, which is also the key itself; even ones belong to varmland.
func keyName(i int) string { return fmt.Sprintf("k%d", i) }

func (w *world) newKey() fleet.Change {
	name := keyName(w.keyCount)
	owner := []string{"varmland", "skane"}[w.keyCount%2]
	w.keyCount++
	return fleet.Change{AddKey: object(name, fleet.Key{Team: owner, Hash: keys.Hash(name)})}
}

// configure publishes a change as an operator who repeats it until the log has it, and reports whether it was accepted.
func (w *world) configure(changes ...fleet.Change) bool {
	c := &fleet.Configure{ID: w.newID(), Expect: w.truth.Config().Version, Changes: changes}
	data, _ := json.Marshal(fleet.Batch{Writer: c.ID, Seq: 1, Commands: []fleet.Command{{Configure: c}}})
	log := w.core.Client(platform.Caller{Name: "operator"})
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := log.Append(ctx, data)
		cancel()
		if err == nil {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	accepted := false
	for range 100 {
		w.truth.View(func(s *fleet.State) { _, accepted = s.ConfigureResults.ByID[c.ID] })
		if accepted {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return accepted
}

// vm returns entry VM i, or nil while it is down.
func (w *world) vm(i int) *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms[i%w.count]
}

func (w *world) live() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.vms), func(v *vm) bool { return v == nil })
}

// take marks an entry VM as down, if v is still the one that serves.
func (w *world) take(i int, v *vm) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v == nil || w.vms[i] != v {
		return false
	}
	w.vms[i] = nil
	return true
}

func (w *world) restore(i int) {
	v := w.startVM(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms[i] = v
}

// replace starts a successor of an entry VM that was fenced.
func (w *world) replace(i int, v *vm) {
	if !w.take(i, v) {
		return
	}
	v.kill()
	w.restore(i)
}

func (w *world) restartServer(i int, down time.Duration) {
	w.mu.Lock()
	s := w.workers[i]
	w.mu.Unlock()
	if s.dead.Load() {
		return
	}
	w.killServer(s)
	w.wait(down)
	next := w.startServer(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[i] = next
}

// wait waits for d, or until all faults end.
func (w *world) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.stop:
	}
}

// during switches a fault on, and off after d.
func (w *world) during(d time.Duration, on, off func()) {
	on()
	w.jobs.Go(func() {
		w.wait(d)
		off()
	})
}

// cutPlatform partitions a caller or a data centre from the platform, or connects it.
func (w *world) cutPlatform(name string, by int) {
	w.mu.Lock()
	w.faults[name] += by
	var cut []string
	for name, n := range w.faults {
		if n > 0 {
			cut = append(cut, name)
		}
	}
	w.mu.Unlock()
	w.platform(func(f *platform.Faults) { f.Cut = cut })
}

func (w *world) platform(change func(*platform.Faults)) {
	f := w.core.Faults()
	change(&f)
	w.core.SetFaults(f)
}

// request is one order, which may be sent several times with the same id.
type request struct {
	order      string
	id         string
	queue      string
	key        string
	repeatable bool
	issued     bool
	runMillis  int

	attempts int // guarded by oracle.mu, as are the following
	starts   []start
	notRun   bool // an attempt was told that it did not run
}

func (r *request) body() []byte {
	body, _ := json.Marshal(backendserver.SleepTask{Order: r.order, RunMillis: r.runMillis})
	return body
}

// finish ends all faults and checks that the fleet converges, serves again, and has kept nothing.
func (w *world) finish() {
	w.mu.Lock()
	w.ending = true
	w.mu.Unlock()
	close(w.stop)
	w.jobs.Wait()
	w.core.SetFaults(platform.Faults{})
	for i := range w.count {
		if w.vm(i) == nil {
			w.restore(i)
		}
	}
	time.Sleep(convergence)
	w.oracle.converged()
	time.Sleep(settling)
	w.oracle.serves()
	for i := range w.count {
		v := w.vm(i)
		if v == nil || !w.take(i, v) {
			w.oracle.violate("e%d is down after all faults have ended", i)
			continue
		}
		if err := v.shutdown(); err != nil {
			w.oracle.violate("%s does not get idle: %v", v.name, err)
		}
	}
	for _, s := range w.workers {
		if n := len(s.Status().Running); n > 0 {
			w.oracle.violate("%s has %d tasks after all entry VMs have left", s.Status().Name, n)
		}
		w.killServer(s)
	}
}

var errNone errkind.Kind

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
