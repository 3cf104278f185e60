// Package fakefleet is a small model of entry VMs around the platform's log for tests of the decision packages: a clock for each
// VM, a log with outages and lost answers, heartbeats with delays, and cuts. It has no goroutines; Step advances it.
package fakefleet

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"time"

	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
)

// Intervals and bounds of the model.
const (
	Tick           = 100 * time.Millisecond
	Heartbeat      = 250 * time.Millisecond
	FreshnessBound = 10 * time.Second // freshness bound, also how long VMs pass on that a peer reads the log
	maxDelay       = 300 * time.Millisecond
	slowDelay      = 6 * time.Second
	resend         = time.Second // time after which an append that was not read back is sent again
	answerLost     = 4           // one append answer in this number is lost
)

// epoch is the time that every clock shows at the start. It is not zero, which means never.
var epoch = time.Unix(1_000_000, 0)

// Fleet is the log, the network and the VMs.
type Fleet struct {
	Elapsed     time.Duration // true time since the start
	Outage      bool          // the log answers nobody
	SlowAppends bool          // appends take up to slowDelay
	// Reliable makes messages arrive at once and loses no answer.
	Reliable bool
	LogState *fleet.State // fold of the whole log
	Appends  int          // appends that reached the log
	VMs      []*VM
	// Cut bars messages between two data centres, by pair in either order.
	Cut   map[[2]string]bool
	Rand  *rand.Rand
	log   []fleet.Batch
	queue []message
	born  int
	// centres are the declared data centres, which do not change.
	centres []string
}

type message struct {
	at      time.Duration
	deliver func() bool // false while the receiver is frozen: the message waits
}

// VM is one entry VM with its running incarnation.
type VM struct {
	Name        string
	DataCentre  string
	Incarnation string
	ClockRate   float64 // clock seconds for each true second
	State       *fleet.State
	Crashed     bool
	Frozen      bool
	Isolated    bool // cut from all peers
	NoPlatform  bool // cut from the log
	NoFetch     bool // gets no records from peers, although they answer
	// ListedGone is set once the platform's list calls the VM gone.
	ListedGone bool
	// Withdrawn has the key ids withdrawn at this VM or heard of by heartbeat.
	Withdrawn map[string]bool
	// OnHeartbeat is called when the VM answers a heartbeat of an incarnation.
	OnHeartbeat func(incarnation string)

	fleet       *Fleet
	seq         uint64
	inFlight    *fleet.Batch
	resendAt    time.Duration
	confirmed   func()
	readAt      time.Time
	logReadable bool
	asked       map[string]keys.PeerView // by incarnation
	heard       map[string]keys.PeerView
	beatAt      time.Duration
}

// New returns a fleet of VMs in the given data centres, one for each name, with clocks that differ by at most one part in
// clockRate. The configuration must declare nothing yet that depends on members.
func New(rng *rand.Rand, config *fleet.Config, centres []string, clockRate int) *Fleet {
	f := &Fleet{LogState: fleet.NewState(), Cut: map[[2]string]bool{}, Rand: rng}
	config = config.Clone()
	for i, c := range centres {
		name := fmt.Sprintf("e%d", i)
		config.Centres[c] = fleet.DataCentre{}
		config.EntryVMs[name] = fleet.EntryVM{DataCentre: c}
		rate := 1 + float64(rng.Intn(3)-1)/float64(2*clockRate)
		f.VMs = append(f.VMs, &VM{Name: name, DataCentre: c, ClockRate: rate, fleet: f})
	}
	f.centres = slices.Sorted(maps.Keys(config.Centres))
	f.LogState.Config = config
	for _, vm := range f.VMs {
		vm.Start()
	}
	return f
}

// Configure applies changes to the configuration through the log.
func (f *Fleet) Configure(changes ...fleet.Change) {
	id := fmt.Sprintf("change-%d", len(f.log))
	expect := f.LogState.Config.Version
	f.land(fleet.Batch{Commands: []fleet.Command{{Configure: &fleet.Configure{ID: id, Expect: expect, Changes: changes}}}})
}

// Start starts a new incarnation on the VM, which takes the state from the log's fold and joins. The one before has ended.
func (vm *VM) Start() {
	f := vm.fleet
	f.born++
	vm.Incarnation = fmt.Sprintf("%08d", f.born)
	vm.Crashed, vm.Frozen, vm.ListedGone = false, false, false
	vm.seq, vm.inFlight = 0, nil
	vm.asked, vm.heard = map[string]keys.PeerView{}, map[string]keys.PeerView{}
	vm.Withdrawn = map[string]bool{}
	vm.State = clone(f.LogState)
	vm.readAt = vm.Now()
	vm.Submit([]fleet.Command{{Join: &fleet.Join{VM: vm.Name, DataCentre: vm.DataCentre}}}, nil)
}

func clone(s *fleet.State) *fleet.State {
	data, err := s.Encode()
	if err != nil {
		panic(err)
	}
	next, err := fleet.DecodeState(data)
	if err != nil {
		panic(err)
	}
	return next
}

// Now returns the VM's own time.
func (vm *VM) Now() time.Time {
	return epoch.Add(time.Duration(float64(vm.fleet.Elapsed) * vm.ClockRate))
}

// Running reports whether the VM executes.
func (vm *VM) Running() bool { return !vm.Crashed && !vm.Frozen }

// Joined reports whether the VM has read its own join and is not fenced.
func (vm *VM) Joined() bool {
	m, ok := vm.State.Members[vm.Incarnation]
	return ok && !m.Fenced
}

// Submit appends commands as one batch and calls confirmed once the VM has read it back. It returns false while an earlier
// batch is in flight.
func (vm *VM) Submit(commands []fleet.Command, confirmed func()) bool {
	if vm.inFlight != nil {
		return false
	}
	vm.seq++
	vm.inFlight = &fleet.Batch{Writer: vm.Incarnation, Seq: vm.seq, Commands: commands}
	vm.confirmed = confirmed
	vm.resendAt = 0
	return true
}

// AppendInFlight reports whether a batch is in flight.
func (vm *VM) AppendInFlight() bool { return vm.inFlight != nil }

// Linked reports whether messages pass between two data centres.
func (f *Fleet) Linked(a, b string) bool { return !f.Cut[[2]string{a, b}] && !f.Cut[[2]string{b, a}] }

func (f *Fleet) linked(a, b *VM) bool {
	return !a.Isolated && !b.Isolated && f.Linked(a.DataCentre, b.DataCentre)
}

func (vm *VM) reachesLog() bool { return !vm.NoPlatform && !vm.fleet.Outage }

// Send delivers a message after a random delay. Deliver returns false while the receiver cannot take it yet.
func (f *Fleet) Send(deliver func() bool) { f.sendWithin(maxDelay, deliver) }

func (f *Fleet) sendWithin(most time.Duration, deliver func() bool) {
	if f.Reliable && deliver() {
		return
	}
	delay := time.Duration(f.Rand.Int63n(int64(most)))
	f.queue = append(f.queue, message{at: f.Elapsed + delay, deliver: deliver})
}

// Step advances the true time by one tick and lets messages arrive and VMs read, append and exchange heartbeats.
func (f *Fleet) Step() {
	f.Elapsed += Tick
	due := f.queue
	f.queue = nil
	for _, m := range due {
		if m.at > f.Elapsed || !m.deliver() {
			f.queue = append(f.queue, m)
		}
	}
	for _, vm := range f.VMs {
		if vm.Running() {
			vm.append()
			vm.read()
			vm.beat()
		}
	}
}

// append sends the batch in flight. Its copies may arrive late and more than once, also after the sender has crashed.
func (vm *VM) append() {
	if vm.inFlight == nil || !vm.reachesLog() {
		return
	}
	batch, f := *vm.inFlight, vm.fleet
	if f.Elapsed < vm.resendAt {
		return
	}
	vm.resendAt = f.Elapsed + resend
	most := maxDelay
	if f.SlowAppends {
		most = slowDelay
	}
	f.sendWithin(most, func() bool {
		if !f.Outage {
			f.land(batch)
		}
		return !f.Outage
	})
}

func (f *Fleet) land(b fleet.Batch) {
	if m, ok := f.LogState.Members[b.Writer]; ok && b.Seq <= m.LastSeq {
		return // a repeat, which the fold would ignore
	}
	f.Appends++
	f.log = append(f.log, b)
	f.LogState.Apply(uint64(len(f.log)), b)
}

func (vm *VM) read() {
	lost := !vm.fleet.Reliable && vm.fleet.Rand.Intn(answerLost) == 0
	if vm.reachesLog() && !lost {
		vm.catchUp(uint64(len(vm.fleet.log)))
		vm.readAt = vm.Now()
	}
	vm.logReadable = vm.reachesLog()
}

// catchUp folds the records up to an offset, read from the log or from a peer.
func (vm *VM) catchUp(to uint64) {
	for vm.State.Offset < to {
		vm.State.Apply(vm.State.Offset+1, vm.fleet.log[vm.State.Offset])
	}
	if vm.inFlight == nil || vm.State.Members[vm.Incarnation].LastSeq < vm.seq {
		return
	}
	vm.inFlight = nil
	if vm.confirmed != nil {
		vm.confirmed()
	}
}

func (vm *VM) status() keys.PeerView {
	now := vm.Now()
	return keys.PeerView{
		DataCentre:  vm.DataCentre,
		Offset:      vm.State.Offset,
		ReadAge:     now.Sub(vm.readAt),
		LogReadable: vm.logReadable || vm.View().LogReadableAnywhere(now, FreshnessBound),
	}
}

// beat asks every other VM, whether it is a known member or not.
func (vm *VM) beat() {
	f := vm.fleet
	if f.Elapsed < vm.beatAt {
		return
	}
	vm.beatAt = f.Elapsed + Heartbeat
	for _, other := range f.VMs {
		if other != vm && f.linked(vm, other) {
			vm.ask(other)
		}
	}
}

func (vm *VM) ask(other *VM) {
	f, sender, receiver := vm.fleet, vm.Incarnation, other.Incarnation
	askedAt, said, withdrawn := vm.Now(), vm.status(), maps.Clone(vm.Withdrawn)
	answer := func() {
		reply, replyWithdrawn := other.status(), maps.Clone(other.Withdrawn)
		reply.AskedAt = askedAt
		f.Send(func() bool {
			if vm.Crashed || vm.Incarnation != sender || !f.linked(vm, other) {
				return true
			}
			if vm.Frozen {
				return false
			}
			maps.Copy(vm.Withdrawn, replyWithdrawn)
			vm.asked[receiver] = reply
			if !vm.NoFetch {
				vm.catchUp(reply.Offset)
			}
			return true
		})
	}
	f.Send(func() bool {
		if other.Crashed || other.Incarnation != receiver || !f.linked(vm, other) {
			return true
		}
		if other.Frozen {
			return false
		}
		said.AskedAt = other.Now()
		other.heard[sender] = said
		maps.Copy(other.Withdrawn, withdrawn)
		if other.OnHeartbeat != nil {
			other.OnHeartbeat(sender)
		}
		answer()
		return true
	})
}

// View returns what the VM knows of the age of its state.
func (vm *VM) View() keys.View {
	v := keys.View{
		Offset:      vm.State.Offset,
		ReadAt:      vm.readAt,
		DataCentre:  vm.DataCentre,
		DataCentres: vm.fleet.centres,
		LogReadable: vm.logReadable,
		Heard:       make([]keys.PeerView, 0, len(vm.heard)),
	}
	for _, p := range vm.heard {
		v.Heard = append(v.Heard, p)
	}
	for _, id := range slices.Sorted(maps.Keys(vm.State.Members)) {
		m := vm.State.Members[id]
		if id == vm.Incarnation || m.Fenced {
			continue
		}
		p := vm.asked[id]
		p.DataCentre, p.Gone = m.DataCentre, vm.fleet.Gone(m.VM)
		v.Peers = append(v.Peers, p)
	}
	return v
}

// Gone reports whether the platform's list calls a VM gone.
func (f *Fleet) Gone(name string) bool {
	for _, vm := range f.VMs {
		if vm.Name == name {
			return vm.ListedGone
		}
	}
	return true
}
