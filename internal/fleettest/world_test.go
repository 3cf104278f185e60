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

// Size, limits and leases of the fleet under test.
const (
	dataCentres = 3
	servers     = 5
	slots       = 3
	teamLimit   = 6
	freshness   = fleet.DefaultKeyFreshnessMillis * time.Millisecond
	grantLease  = 100 * time.Second // shorter than in production, so that a scenario outlasts it
)

func dataCentreOf(i int) string { return string(rune('a' + i%dataCentres)) }

// world simulates a whole fleet in one synctest bubble, with its callers and operators.
type world struct {
	core        *platform.Core
	net         *network
	count       int // entry VMs
	observer    *logclient.Follower
	truth       *fleet.Store // state of the log, read without any fault except an outage
	background  sync.WaitGroup
	faultsEnded chan struct{} // closed to end all faults
	oracle      *oracle

	mu       sync.Mutex
	rnd      *rand.Rand
	ids      uint64
	vms      []*vm // nil while down
	backends []*backendProcess
	requests []*request
	keyCount int
	faults   map[string]int // by caller or data centre: number of active partitions from the platform
	ending   bool
}

// run runs a scenario on a new fleet of count entry VMs and returns the violations of its invariants.
func run(t *testing.T, count int, seed uint64, script func(w *world)) []string {
	t.Helper()
	w := &world{
		core: platform.NewCore(platform.Options{}), net: newNetwork(), count: count, truth: fleet.NewStore(), faultsEnded: make(chan struct{}),
		rnd: rand.New(rand.NewPCG(seed, 7)), vms: make([]*vm, count), backends: make([]*backendProcess, servers), faults: map[string]int{},
	}
	time.Sleep(time.Hour) // so that the time in a ULID is above the initial ULID floor of zero
	w.oracle = newOracle(w)
	ctx, cancel := context.WithCancel(context.Background())
	w.observer = logclient.NewFollower(logclient.FollowerOptions{Log: w.core.Client(platform.Caller{Name: "observer"}), Store: w.truth})
	w.truth.OnApplied(func(fleet.Applied) { w.oracle.observe() })
	w.core.SetReboot(func(_ context.Context, name string) error {
		i, err := strconv.Atoi(name[1:])
		w.background.Go(func() { w.restartServer(i, 3*time.Second) })
		return err
	})
	var observing sync.WaitGroup
	observing.Go(func() { _ = w.observer.Run(ctx) })
	w.configure(w.initialChanges()...)
	for i := range servers {
		w.backends[i] = w.startServer(i)
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
	time.Sleep(2 * time.Minute) // lets tasks and connections end
	return w.oracle.violations
}

func (w *world) seeds() []string {
	var seeds []string
	for i := range w.count {
		seeds = append(seeds, peerAddress(i))
	}
	return seeds
}

// newID returns a ULID that is greater than all that it returned before.
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

// limitChange returns a change that sets varmland's limit. The tag is added to the share, to tell apart changes to the same limit.
func limitChange(limit, tag int) fleet.Change {
	return fleet.Change{Team: object("varmland", fleet.Team{Share: 1000 + tag, Limit: limit})}
}

func (w *world) initialChanges() []fleet.Change {
	preset := "p0"
	changes := []fleet.Change{
		limitChange(teamLimit, 0),
		{Team: object("skane", fleet.Team{Share: 1000, Limit: 2 * teamLimit})},
		{Pool: object("pricing", fleet.Pool{Min: 1, MaxUnavailable: 2})},
		{Queue: object("quotes", fleet.Queue{Pool: "pricing", Class: fleet.Urgent})},
		{Queue: object("sheets", fleet.Queue{Pool: "pricing", Class: fleet.Overnight})},
		{Queue: object("counter", fleet.Queue{Pool: "pricing", Class: fleet.Urgent, Open: true, Team: "varmland"})},
		{Preset: object("p0", fleet.Preset{Maintenance: true, MaxDrains: 2})},
		{Preset: object("p1", fleet.Preset{Maintenance: true, MaxDrains: 2, ReservePercent: 20})},
		{InForce: &preset},
	}
	for i := range dataCentres {
		dc := dataCentreOf(i)
		changes = append(changes,
			fleet.Change{DataCentre: object(dc, fleet.DataCentre{MaxUnavailable: 2})},
			fleet.Change{Rack: object("r"+dc, fleet.Rack{DataCentre: dc, MaxUnavailable: 2})})
	}
	for i := range servers {
		changes = append(changes, fleet.Change{Server: object(serverName(i), fleet.BackendServer{
			Address: serverAddress(i), DataCentre: dataCentreOf(i), Rack: "r" + dataCentreOf(i), Pool: "pricing", Slots: slots, Connections: 64,
		})})
	}
	for i := range w.count {
		changes = append(changes, fleet.Change{EntryVM: object(fmt.Sprintf("e%d", i), fleet.EntryVM{DataCentre: dataCentreOf(i)})})
	}
	for range 3 {
		changes = append(changes, w.newKey())
	}
	return changes
}

// keyName returns the name of key i, which is also the key's secret. Even keys belong to team varmland, odd ones to skane.
func keyName(i int) string { return fmt.Sprintf("k%d", i) }

func (w *world) newKey() fleet.Change {
	name := keyName(w.keyCount)
	owner := []string{"varmland", "skane"}[w.keyCount%2]
	w.keyCount++
	return fleet.Change{AddKey: object(name, fleet.Key{Team: owner, Hash: keys.Hash(name)})}
}

// configure submits a change as an operator who retries until the log has stored it, and reports whether it was accepted.
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

func (w *world) liveVMs() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(w.vms), func(v *vm) bool { return v == nil })
}

// markDown marks entry VM i as down if v is still its current process, and reports whether it did.
func (w *world) markDown(i int, v *vm) bool {
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

// replace kills a fenced process of entry VM i and starts its successor.
func (w *world) replace(i int, v *vm) {
	if !w.markDown(i, v) {
		return
	}
	v.kill()
	w.restore(i)
}

func (w *world) restartServer(i int, down time.Duration) {
	w.mu.Lock()
	s := w.backends[i]
	w.mu.Unlock()
	if s.dead.Load() {
		return
	}
	w.killServer(s)
	w.wait(down)
	next := w.startServer(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.backends[i] = next
}

// wait waits for d, or until all faults end.
func (w *world) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.faultsEnded:
	}
}

// injectFault turns a fault on, and turns it off after d or when all faults end.
func (w *world) injectFault(d time.Duration, on, off func()) {
	on()
	w.background.Go(func() {
		w.wait(d)
		off()
	})
}

// cutPlatform adds by to the number of partitions between a caller or data centre and the platform, which are connected at zero.
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

// request is one order of a caller, which may be sent several times with the same id.
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
	notRun   bool // an attempt was answered that the request did not run
}

func (r *request) body() []byte {
	body, _ := json.Marshal(backendserver.SleepTask{Order: r.order, RunMillis: r.runMillis})
	return body
}

// finish ends all faults and checks that the fleet converges, serves requests again, and shuts down without leaving tasks on servers.
func (w *world) finish() {
	w.mu.Lock()
	w.ending = true
	w.mu.Unlock()
	close(w.faultsEnded)
	w.background.Wait()
	w.core.SetFaults(platform.Faults{})
	for i := range w.count {
		if w.vm(i) == nil {
			w.restore(i)
		}
	}
	time.Sleep(convergenceTime)
	w.oracle.converged()
	time.Sleep(settleTime)
	w.oracle.serves()
	for i := range w.count {
		v := w.vm(i)
		if v == nil || !w.markDown(i, v) {
			w.oracle.violate("e%d is down after all faults have ended", i)
			continue
		}
		if err := v.shutdown(); err != nil {
			w.oracle.violate("%s did not shut down cleanly: %v", v.name, err)
		}
	}
	for _, s := range w.backends {
		if n := len(s.Status().Running); n > 0 {
			w.oracle.violate("%s still runs %d tasks after all entry VMs have shut down", s.Status().Name, n)
		}
		w.killServer(s)
	}
}

var errNone errkind.Kind

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
