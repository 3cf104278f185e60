package entry

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/peer"
)

// fakeLog is a log shared by several nodes. A node that cannot reach it neither reads nor writes. Commands that it submits meanwhile take
// effect, in order, once it is connected again, even if the submitter no longer waits for them.
type fakeLog struct {
	mu      sync.Mutex
	records []fleet.Batch
	nodes   []*node
}

// node is one engine with its store and its connections to the log and to its peers.
type node struct {
	loseNextForward atomic.Bool // the answer to the next forwarded request is lost
	*Engine
	log              *fakeLog
	backend          *fakeBackend
	store            *fleet.Store
	name             string
	seq              uint64
	queued           []submission
	logUnreachable   bool
	writeOnly        bool // writes to the log, but does not read it
	peersUnreachable bool
	readAt           time.Time
	results          map[uint64]chan []fleet.Result
}

type submission struct {
	batch fleet.Batch
	done  chan []fleet.Result
}

// syncLocked lets every connected node write its queued batches and read the log to its end.
func (l *fakeLog) syncLocked() {
	for _, n := range l.nodes {
		if n.logUnreachable {
			continue
		}
		for _, s := range n.queued {
			l.records = append(l.records, s.batch)
			n.results[s.batch.Seq] = s.done
		}
		n.queued = nil
	}
	for _, n := range l.nodes {
		if n.logUnreachable || n.writeOnly {
			continue
		}
		n.readAt = time.Now()
		for i := n.store.Offset(); i < uint64(len(l.records)); i++ {
			n.store.Apply(i+1, l.records[i])
		}
	}
}

func (l *fakeLog) sync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.syncLocked()
}

// publish appends a batch as an operator or another VM would.
func (l *fakeLog) publish(writer string, commands ...fleet.Command) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, fleet.Batch{Writer: writer, Seq: uint64(len(l.records) + 1), Commands: commands})
	l.syncLocked()
}

func (l *fakeLog) configure(expect uint64, changes ...fleet.Change) {
	id := ulid.Make().String()
	l.publish("operator", fleet.Command{Configure: &fleet.Configure{ID: id, Expect: expect, Changes: changes}})
}

// setUnreachable disconnects nodes from the log, or connects them again.
func (l *fakeLog) setUnreachable(unreachable bool, nodes ...*node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range nodes {
		n.logUnreachable = unreachable
	}
	l.syncLocked()
}

// appendDelay is the simulated time to append a batch and read it back.
const appendDelay = 5 * time.Millisecond

func (n *node) Submit(ctx context.Context, commands ...fleet.Command) ([]fleet.Result, error) {
	time.Sleep(appendDelay)
	n.log.mu.Lock()
	n.seq++
	s := submission{fleet.Batch{Writer: n.options.Incarnation, Seq: n.seq, Commands: commands}, make(chan []fleet.Result, 1)}
	n.queued = append(n.queued, s)
	n.log.syncLocked()
	n.log.mu.Unlock()
	select {
	case r := <-s.done:
		return r, nil
	case <-ctx.Done():
		return nil, errkind.Wrap(errkind.LogUnavailable, ctx.Err())
	}
}

func (n *node) applied(a fleet.Applied) {
	if a.Batch.Writer != n.options.Incarnation {
		return
	}
	if done, ok := n.results[a.Batch.Seq]; ok {
		done <- a.Results
	}
}

func (n *node) ReadAt() time.Time {
	n.log.sync()
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	return n.readAt
}

func (n *node) Readable() bool {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	return !n.logUnreachable
}

func (n *node) reachable() []*node {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(n.log.nodes), func(o *node) bool { return o == n || o.peersUnreachable || n.peersUnreachable })
}

func (n *node) Statuses() []PeerStatus {
	var out []PeerStatus
	for _, o := range n.reachable() {
		o.mu.Lock()
		st := peer.Status{Incarnation: o.options.Incarnation, DataCentre: o.options.DataCentre, PeerAddress: o.name}
		o.addLoadLocked(&st)
		st.Withdrawn = slices.Sorted(maps.Keys(o.withdrawnKeys))
		o.mu.Unlock()
		st.Offset = o.store.Offset()
		st.LogReadable = o.Readable()
		o.HeartbeatAnswered(peer.Status{Incarnation: n.options.Incarnation})
		out = append(out, PeerStatus{Status: st, AskedAt: time.Now()})
	}
	return out
}

func (n *node) setWriteOnly(writeOnly bool) {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	n.writeOnly = writeOnly
}

func (n *node) setPeersUnreachable(unreachable bool) {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	n.peersUnreachable = unreachable
}

func (n *node) find(address string) (*node, error) {
	for _, o := range n.reachable() {
		if o.name == address {
			return o, nil
		}
	}
	return nil, errkind.New(errkind.IssuerUnreachable, "cut off")
}

func (n *node) Forward(ctx context.Context, address string, args peer.ForwardArgs) (peer.ResultReply, error) {
	o, err := n.find(address)
	if err != nil {
		return peer.ResultReply{}, err
	}
	reply := o.HandleForward(ctx, args)
	if n.loseNextForward.CompareAndSwap(true, false) {
		return peer.ResultReply{}, errkind.New(errkind.IssuerUnreachable, "the connection was closed")
	}
	return reply, nil
}

func (n *node) Result(_ context.Context, address string, args peer.ResultArgs) (peer.ResultReply, error) {
	o, err := n.find(address)
	if err != nil {
		return peer.ResultReply{}, err
	}
	return o.HandleResult(args), nil
}

// fakeBackend simulates all backend servers. It enforces leases on its own clock and counts the tasks that run.
type fakeBackend struct {
	mu             sync.Mutex
	started        time.Time
	run            func(ctx context.Context, t backend.Task) ([]byte, error)
	starts         map[string]int // by body
	running        map[string]int // by team
	peak           map[string]int
	usedSlots      map[string]int // by address
	leaseUntil     map[string]int64
	stops          map[string]chan struct{}
	ignoreStops    bool            // stop orders have no effect
	restarts       int             // number of restarts
	startAddresses []string        // addresses, in order of starts
	fullRefusals   map[string]int  // refusals for lack of a slot, by the addresses of full servers
	failingServers map[string]bool // addresses of servers that fail every task
}

func serverAddress(name string) string { return "10.0.0.1:" + name[1:] }

func serverName(address string) string { return "s" + address[len("10.0.0.1:"):] }

// restart resets the servers' clock and changes their boot id, as if they had just booted.
func (b *fakeBackend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restarts++
	b.started = time.Now()
}

func (b *fakeBackend) status(address string) backend.Status {
	return backend.Status{Name: serverName(address), BootID: strconv.Itoa(b.restarts), ClockMillis: b.clock()}
}

func (b *fakeBackend) clock() int64 { return time.Since(b.started).Milliseconds() }

func (b *fakeBackend) Run(ctx context.Context, address string, t backend.Task) ([]byte, error) {
	b.mu.Lock()
	if t.BootID != strconv.Itoa(b.restarts) {
		b.mu.Unlock()
		return nil, errkind.Wrap(errkind.BackendRefused, backend.ErrBootMismatch)
	}
	if t.LeaseUntil <= b.clock() || t.StartUntil < b.clock() {
		b.mu.Unlock()
		return nil, errkind.New(errkind.BackendRefused, "lease")
	}
	_, full := b.fullRefusals[address]
	if full || b.usedSlots[address] >= testSlots {
		if full {
			b.fullRefusals[address]++
		}
		b.mu.Unlock()
		return nil, errkind.Wrap(errkind.BackendRefused, backend.ErrBusy)
	}
	run := b.run
	if b.failingServers[address] {
		run = func(ctx context.Context, _ backend.Task) ([]byte, error) {
			sleep(ctx, 50*time.Millisecond)
			return nil, errkind.New(errkind.BackendFailed, "bad server")
		}
	}
	stop := make(chan struct{})
	b.stops[t.ID] = stop
	b.leaseUntil[t.ID] = t.LeaseUntil
	b.starts[string(t.Body)]++
	b.startAddresses = append(b.startAddresses, address)
	b.running[t.Team]++
	b.usedSlots[address]++
	b.peak[t.Team] = max(b.peak[t.Team], b.running[t.Team])
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.watch(ctx, t.ID, stop, cancel)
	body, err := run(ctx, t)
	if errkind.Of(err) == errkind.BackendLost {
		go b.runUntilLeaseEnd(address, t)
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[t.Team]--
	b.usedSlots[address]--
	if errkind.Of(err) == errkind.BackendRefused {
		b.starts[string(t.Body)]--
	}
	return body, err
}

// runUntilLeaseEnd lets a task whose connection broke run until its lease expires.
func (b *fakeBackend) runUntilLeaseEnd(address string, t backend.Task) {
	b.mu.Lock()
	left := b.leaseUntil[t.ID] - b.clock()
	b.mu.Unlock()
	time.Sleep(time.Duration(left) * time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running[t.Team]--
	b.usedSlots[address]--
}

// watch ends a task that is stopped or whose lease has expired.
func (b *fakeBackend) watch(ctx context.Context, id string, stop chan struct{}, cancel context.CancelFunc) {
	defer cancel()
	for {
		b.mu.Lock()
		left := b.leaseUntil[id] - b.clock()
		b.mu.Unlock()
		if left <= 0 {
			return
		}
		select {
		case <-time.After(time.Duration(left) * time.Millisecond):
		case <-stop:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (b *fakeBackend) Status(_ context.Context, address string) (backend.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.status(address), nil
}

func (b *fakeBackend) Renew(_ context.Context, address string, r backend.LeaseRequest) (backend.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, until := range r.Until {
		b.leaseUntil[id] = max(b.leaseUntil[id], until)
	}
	return b.status(address), nil
}

func (b *fakeBackend) Stop(_ context.Context, _, id, _ string, _ uint64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A stop order may arrive before its task, or twice.
	if stop, ok := b.stops[id]; ok && !b.ignoreStops {
		close(stop)
		delete(b.stops, id)
	}
	return nil
}

func (b *fakeBackend) Checkpoint(ctx context.Context, address, id, holder string, fence uint64) error {
	return b.Stop(ctx, address, id, holder, fence)
}

func (b *fakeBackend) setRun(run func(context.Context, backend.Task) ([]byte, error)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.run = run
}

// ofTestTeam returns the test team's entry of b.running or b.peak.
func (b *fakeBackend) ofTestTeam(numbers map[string]int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return numbers["varmland"]
}

func (b *fakeBackend) startsOf(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts[body]
}

// runsFor returns a run function that takes d and responds with the body, or fails if it is ended early.
func runsFor(d time.Duration) func(context.Context, backend.Task) ([]byte, error) {
	return func(ctx context.Context, t backend.Task) ([]byte, error) {
		if !sleep(ctx, d) {
			return nil, errkind.New(errkind.BackendFailed, "ended early")
		}
		return []byte("answer to " + string(t.Body)), nil
	}
}

// failsWith returns a run function that fails immediately with an error of kind k.
func failsWith(k errkind.Kind) func(context.Context, backend.Task) ([]byte, error) {
	return func(context.Context, backend.Task) ([]byte, error) {
		return nil, errkind.New(k, "as the test wants it")
	}
}

type nullCounters struct{}

func (nullCounters) Refused(errkind.Kind)                  {}
func (nullCounters) Retried(errkind.Kind)                  {}
func (nullCounters) Finished(errkind.Outcome, fleet.Class) {}
func (nullCounters) StartDelay(fleet.Class, time.Duration) {}

const testKey = "glass"

// testSlots is the number of slots of each server.
const testSlots = 8

func testChanges(limit int) []fleet.Change {
	changes := []fleet.Change{
		{DataCentre: &fleet.Object[fleet.DataCentre]{Name: "a", Value: &fleet.DataCentre{MaxUnavailable: 2}}},
		{Rack: &fleet.Object[fleet.Rack]{Name: "r", Value: &fleet.Rack{DataCentre: "a", MaxUnavailable: 2}}},
		{Pool: &fleet.Object[fleet.Pool]{Name: "pricing", Value: &fleet.Pool{Min: 1, MaxUnavailable: 1}}},
		{Team: &fleet.Object[fleet.Team]{Name: "varmland", Value: &fleet.Team{Share: 1, Limit: limit}}},
		{AddKey: &fleet.Object[fleet.Key]{Name: "k1", Value: &fleet.Key{Team: "varmland", Hash: keys.Hash(testKey)}}},
		{Queue: &fleet.Object[fleet.Queue]{Name: "quotes", Value: &fleet.Queue{Pool: "pricing", Class: fleet.Urgent}}},
		{Queue: &fleet.Object[fleet.Queue]{Name: "sheets", Value: &fleet.Queue{Pool: "pricing", Class: fleet.Overnight}}},
		{Queue: &fleet.Object[fleet.Queue]{Name: "counter", Value: &fleet.Queue{
			Pool: "pricing", Class: fleet.Urgent, Open: true, Team: "varmland",
		}}},
		{EntryVM: &fleet.Object[fleet.EntryVM]{Name: "e1", Value: &fleet.EntryVM{DataCentre: "a"}}},
		{EntryVM: &fleet.Object[fleet.EntryVM]{Name: "e2", Value: &fleet.EntryVM{DataCentre: "a"}}},
	}
	for _, name := range []string{"s1", "s2"} {
		changes = append(changes, fleet.Change{Server: &fleet.Object[fleet.BackendServer]{
			Name: name, Value: &fleet.BackendServer{Address: serverAddress(name), DataCentre: "a", Rack: "r", Pool: "pricing", Slots: testSlots, Connections: 64},
		}})
	}
	return changes
}

// withNodes runs fn in a synctest bubble with two engines that share a log and the backend servers.
func withNodes(t *testing.T, limit int, fn func(t *testing.T, a, b *node)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Hour) // so that the ULIDs of the test are above a floor of zero
		log := &fakeLog{}
		servers := &fakeBackend{
			started: time.Now(), run: runsFor(50 * time.Millisecond), starts: map[string]int{}, running: map[string]int{},
			peak: map[string]int{}, usedSlots: map[string]int{}, leaseUntil: map[string]int64{}, stops: map[string]chan struct{}{},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var runs sync.WaitGroup
		for _, name := range []string{"e1", "e2"} {
			log.nodes = append(log.nodes, newNode(log, servers, name))
		}
		log.configure(0, testChanges(limit)...)
		require.EqualValues(t, 1, log.nodes[0].store.Config().Version)
		for _, n := range log.nodes {
			runs.Go(func() { _ = n.Run(ctx) })
		}
		defer time.Sleep(time.Minute) // lets the leases of lost tasks expire
		defer runs.Wait()
		defer cancel()
		time.Sleep(time.Second)
		fn(t, log.nodes[0], log.nodes[1])
	})
}

func newNode(log *fakeLog, servers *fakeBackend, name string) *node {
	n := &node{log: log, backend: servers, store: fleet.NewStore(), name: name, results: map[uint64]chan []fleet.Result{}}
	o := DefaultOptions()
	o.VM, o.DataCentre, o.PeerAddress, o.Incarnation = name, "a", name, ulid.Make().String()
	o.Store, o.Submitter, o.Backend, o.Peers, o.LogView, o.Counters = n.store, n, servers, n, n, nullCounters{}
	n.Engine = New(o)
	n.store.OnApplied(n.applied)
	return n
}

// nonRepeatableRequest returns a non-repeatable request with a new id.
func nonRepeatableRequest(body string) Request {
	return Request{Queue: "quotes", Key: testKey, ID: ulid.Make().String(), TimeLeft: 5 * time.Second, Body: []byte(body)}
}

func (n *node) claimOf(id string) fleet.Claim {
	var c fleet.Claim
	n.store.View(func(s *fleet.State) { c, _ = s.Claims.Lookup("varmland", id) })
	return c
}

func expect(t *testing.T, r Response, k errkind.Kind, o errkind.Outcome) {
	t.Helper()
	assert.Equal(t, []any{k, o}, []any{r.Kind, r.Outcome}, r.Message)
}
