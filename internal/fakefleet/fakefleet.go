// Package fakefleet is a small model of entry VMs and the platform's log for tests of the packages that make decisions: a clock for each VM, a log
// with outages and lost answers, delayed heartbeats, and network partitions. It has no goroutines; Step advances it.
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

// Intervals and limits of the model.
const (
	Tick              = 100 * time.Millisecond
	Heartbeat         = 250 * time.Millisecond
	FreshnessBound    = 10 * time.Second // age up to which a state is fresh, and up to which VMs pass on that a peer can read the log
	maxDelay          = 300 * time.Millisecond
	slowDelay         = 6 * time.Second
	resendInterval    = time.Second // time after which an append that was not read back is sent again
	lostAnswerDivisor = 4           // one read in this number gets no answer
)

// epoch is the time that every clock shows at the start. It is not the zero time, which means never.
var epoch = time.Unix(1_000_000, 0)

// Fleet is the model: the log, the network and the VMs.
type Fleet struct {
	Elapsed     time.Duration // true time since the start
	Outage      bool          // the log is unavailable to all VMs
	SlowAppends bool          // appends take up to slowDelay
	// Reliable delivers messages immediately, if the receiver can take them, and loses no answers.
	Reliable bool
	LogState *fleet.State // the state after the whole log
	Appends  int          // appends that reached the log
	VMs      []*VM
	// Cut blocks messages between the pairs of data centres in it, in either order of the pair.
	Cut          map[[2]string]bool
	Rand         *rand.Rand
	log          []fleet.Batch
	inTransit    []message
	incarnations int
	// dataCentres are the declared data centres, which do not change.
	dataCentres []string
}

// message is a message in transit.
type message struct {
	at      time.Duration
	deliver func() bool // returns false while the receiver can't take the message, which then stays in transit
}

// VM is an entry VM with its current incarnation.
type VM struct {
	Name        string
	DataCentre  string
	Incarnation string
	ClockRate   float64 // clock seconds for each true second
	State       *fleet.State
	Crashed     bool
	Frozen      bool
	Isolated    bool // partitioned from all peers
	NoPlatform  bool // partitioned from the log
	NoFetch     bool // gets no records from peers, although they answer heartbeats
	// ListedGone is set while the platform's list of VMs shows the VM as gone.
	ListedGone bool
	// Withdrawn has the ids of the keys that were withdrawn at this VM or reported by heartbeats.
	Withdrawn map[string]bool
	// OnHeartbeat is called with the sender's incarnation when the VM answers a heartbeat.
	OnHeartbeat func(incarnation string)

	fleet           *Fleet
	seq             uint64
	inFlight        *fleet.Batch
	resendAt        time.Duration
	confirmed       func()
	readAt          time.Time
	logReadable     bool
	asked           map[string]keys.PeerView // by incarnation
	heard           map[string]keys.PeerView
	nextHeartbeatAt time.Duration
}

// New returns a fleet with one VM for each element of dataCentres, which names its data centre. The clocks of the VMs differ by at most one part in
// clockRate. The configuration must not yet declare anything that depends on members.
func New(rng *rand.Rand, config *fleet.Config, dataCentres []string, clockRate int) *Fleet {
	f := &Fleet{LogState: fleet.NewState(), Cut: map[[2]string]bool{}, Rand: rng}
	config = config.Clone()
	for i, c := range dataCentres {
		name := fmt.Sprintf("e%d", i)
		config.DataCentres[c] = fleet.DataCentre{}
		config.EntryVMs[name] = fleet.EntryVM{DataCentre: c}
		rate := 1 + float64(rng.Intn(3)-1)/float64(2*clockRate)
		f.VMs = append(f.VMs, &VM{Name: name, DataCentre: c, ClockRate: rate, fleet: f})
	}
	f.dataCentres = slices.Sorted(maps.Keys(config.DataCentres))
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
	f.appendToLog(fleet.Batch{Commands: []fleet.Command{{Configure: &fleet.Configure{ID: id, Expect: expect, Changes: changes}}}})
}

// Start replaces the VM's incarnation, which has ended, by a new one, which takes over the current state of the log and joins.
func (vm *VM) Start() {
	f := vm.fleet
	f.incarnations++
	vm.Incarnation = fmt.Sprintf("%08d", f.incarnations)
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

// Now returns the time on the VM's clock.
func (vm *VM) Now() time.Time {
	return epoch.Add(time.Duration(float64(vm.fleet.Elapsed) * vm.ClockRate))
}

// Running reports whether the VM is neither crashed nor frozen.
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

// AppendInFlight reports whether a submitted batch was not read back yet.
func (vm *VM) AppendInFlight() bool { return vm.inFlight != nil }

// Linked reports whether messages pass between two data centres.
func (f *Fleet) Linked(a, b string) bool { return !f.Cut[[2]string{a, b}] && !f.Cut[[2]string{b, a}] }

func (f *Fleet) linked(a, b *VM) bool {
	return !a.Isolated && !b.Isolated && f.Linked(a.DataCentre, b.DataCentre)
}

func (vm *VM) reachesLog() bool { return !vm.NoPlatform && !vm.fleet.Outage }

// Send delivers a message after a random delay. The function deliver returns false while the receiver can't take the message yet.
func (f *Fleet) Send(deliver func() bool) { f.sendWithin(maxDelay, deliver) }

func (f *Fleet) sendWithin(maxWait time.Duration, deliver func() bool) {
	if f.Reliable && deliver() {
		return
	}
	delay := time.Duration(f.Rand.Int63n(int64(maxWait)))
	f.inTransit = append(f.inTransit, message{at: f.Elapsed + delay, deliver: deliver})
}

// Step advances the true time by one tick, delivers the messages that are due, and lets each running VM append, read and send heartbeats.
func (f *Fleet) Step() {
	f.Elapsed += Tick
	due := f.inTransit
	f.inTransit = nil
	for _, m := range due {
		if m.at > f.Elapsed || !m.deliver() {
			f.inTransit = append(f.inTransit, m)
		}
	}
	for _, vm := range f.VMs {
		if vm.Running() {
			vm.sendBatch()
			vm.readLog()
			vm.sendHeartbeats()
		}
	}
}

// sendBatch sends the batch in flight. Copies of it may arrive late and more than once, even after the sender has crashed.
func (vm *VM) sendBatch() {
	if vm.inFlight == nil || !vm.reachesLog() {
		return
	}
	batch, f := *vm.inFlight, vm.fleet
	if f.Elapsed < vm.resendAt {
		return
	}
	vm.resendAt = f.Elapsed + resendInterval
	maxWait := maxDelay
	if f.SlowAppends {
		maxWait = slowDelay
	}
	f.sendWithin(maxWait, func() bool {
		if !f.Outage {
			f.appendToLog(batch)
		}
		return !f.Outage
	})
}

func (f *Fleet) appendToLog(b fleet.Batch) {
	if m, ok := f.LogState.Members[b.Writer]; ok && b.Seq <= m.LastSeq {
		return // a repeat, which the state machine would ignore
	}
	f.Appends++
	f.log = append(f.log, b)
	f.LogState.Apply(uint64(len(f.log)), b)
}

func (vm *VM) readLog() {
	lost := !vm.fleet.Reliable && vm.fleet.Rand.Intn(lostAnswerDivisor) == 0
	if vm.reachesLog() && !lost {
		vm.catchUp(uint64(len(vm.fleet.log)))
		vm.readAt = vm.Now()
	}
	vm.logReadable = vm.reachesLog()
}

// catchUp applies the records up to an offset, read from the log or a peer, and completes the batch in flight if it is among them.
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

// sendHeartbeats sends a heartbeat to every other reachable VM, whether it is a known member or not.
func (vm *VM) sendHeartbeats() {
	f := vm.fleet
	if f.Elapsed < vm.nextHeartbeatAt {
		return
	}
	vm.nextHeartbeatAt = f.Elapsed + Heartbeat
	for _, other := range f.VMs {
		if other != vm && f.linked(vm, other) {
			vm.sendHeartbeat(other)
		}
	}
}

func (vm *VM) sendHeartbeat(other *VM) {
	f, sender, receiver := vm.fleet, vm.Incarnation, other.Incarnation
	askedAt, status, withdrawn := vm.Now(), vm.status(), maps.Clone(vm.Withdrawn)
	sendReply := func() {
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
		status.AskedAt = other.Now()
		other.heard[sender] = status
		maps.Copy(other.Withdrawn, withdrawn)
		if other.OnHeartbeat != nil {
			other.OnHeartbeat(sender)
		}
		sendReply()
		return true
	})
}

// View returns what the VM knows about the age of its state.
func (vm *VM) View() keys.View {
	v := keys.View{
		Offset:      vm.State.Offset,
		ReadAt:      vm.readAt,
		DataCentre:  vm.DataCentre,
		DataCentres: vm.fleet.dataCentres,
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

// Gone reports whether the platform's list of VMs shows a VM as gone. An unknown VM is gone.
func (f *Fleet) Gone(name string) bool {
	for _, vm := range f.VMs {
		if vm.Name == name {
			return vm.ListedGone
		}
	}
	return true
}
