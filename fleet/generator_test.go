package fleet

import (
	"fmt"
	"strings"

	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/errkind"
)

// testWriter is a simulated writer. It keeps writing after it was fenced or has left.
type testWriter struct {
	vm, incarnation string
	seq             uint64
}

// generator draws batches. Most are valid in the current state, so that many commands are accepted; some are stale.
type generator struct {
	t            *rapid.T
	state        *State
	writers      []*testWriter
	configureIDs int
	requestIDs   []string
}

func (g *generator) pick(from ...string) string { return rapid.SampledFrom(from).Draw(g.t, "name") }
func (g *generator) intUpTo(n int) int          { return rapid.IntRange(0, n).Draw(g.t, "n") }

// maybeStale returns n, or occasionally a number close to it.
func (g *generator) maybeStale(n uint64) uint64 {
	if g.intUpTo(9) > 0 {
		return n
	}
	return n + uint64(g.intUpTo(2)) - min(n, 1)
}

func (g *generator) pickWriter() *testWriter {
	if len(g.writers) < 2 || g.intUpTo(11) == 0 {
		w := &testWriter{vm: g.pick("e1", "e2", "e3"), incarnation: fmt.Sprintf("inc-%04d", len(g.writers)+1)}
		g.writers = append(g.writers, w)
	}
	return g.writers[max(0, len(g.writers)-1-g.intUpTo(3))]
}

// batch returns up to three commands of the same kind, so that the oracle can check the state right after them.
func (g *generator) batch() Batch {
	w := g.pickWriter()
	w.seq++
	b := Batch{Writer: w.incarnation, Seq: w.seq}
	kind := rapid.SampledFrom(strings.Fields("join join configure configure configure renew leave fence expire release "+
		"ask ask give claim claim claim claim close finish finish health drain drain drain advance advance advance move move wave snapshot")).Draw(g.t, "kind")
	if _, joined := g.state.Members[w.incarnation]; !joined && g.intUpTo(3) > 0 {
		kind = "join"
	}
	for range 1 + g.intUpTo(2) {
		b.Commands = append(b.Commands, g.command(kind, w))
	}
	return b
}

func (g *generator) command(kind string, w *testWriter) Command {
	other := g.writers[g.intUpTo(len(g.writers)-1)].incarnation
	vm := g.pick("s1", "s2", "s3", "s4", "s5", "s6")
	epoch := g.maybeStale(g.state.VMs[vm].Epoch)
	team, pool := g.pick("a", "a", "b"), g.pick("p1", "p2", "spare")
	id := g.requestID()
	outcome := errkind.Outcome(g.pick("done", "unknown"))
	switch kind {
	case "join":
		return Command{Join: &Join{VM: w.vm, DataCentre: "d1", PeerAddress: w.vm}}
	case "configure":
		return Command{Configure: g.configure()}
	case "renew":
		return Command{Renew: &Renew{}}
	case "leave":
		return Command{Leave: &Leave{Issued: map[string]errkind.Outcome{id: outcome}}}
	case "fence":
		return Command{Fence: &Fence{Incarnation: other}}
	case "expire":
		return Command{Expire: &Expire{Incarnation: other, LeaseSeq: g.maybeStale(g.state.Members[other].LeaseSeq)}}
	case "release":
		return Command{Release: &Release{Incarnation: other}}
	case "ask":
		return Command{RequestGrants: &RequestGrants{Wants: []TeamCount{{team, g.intUpTo(14)}, {team, g.intUpTo(14)}}}}
	case "give":
		return Command{ReturnGrants: &ReturnGrants{Keep: []TeamCount{{team, g.intUpTo(8)}}}}
	case "claim":
		return Command{Claim: &MakeClaim{Team: team, RequestID: id}}
	case "close":
		return Command{Close: &CloseClaim{Team: team, RequestID: id}}
	case "finish":
		return Command{Finish: &FinishClaim{Team: team, RequestID: id, Outcome: outcome}}
	case "health":
		return Command{Health: &ReportHealth{VM: vm, Down: g.intUpTo(2) == 0}}
	case "drain":
		return Command{Drain: &StartDrain{VM: vm, Epoch: epoch, Wave: g.pick("", "", "w")}}
	case "advance":
		to := Phase(g.pick("serving", "serving", "rebooting"))
		return Command{Phase: &AdvancePhase{VM: vm, Epoch: epoch, To: to, Abandon: g.intUpTo(2) == 0, Maintained: g.intUpTo(1) == 0}}
	case "move":
		return Command{Move: &StartMove{VM: vm, Epoch: epoch, To: pool, Layout: g.maybeStale(g.state.Layout)}}
	case "wave":
		return Command{Wave: &SetWave{Name: "w", Pools: []string{pool}, State: WaveState(g.pick("planned", "running", "paused"))}}
	}
	upTo := g.state.Offset - min(g.state.Offset, uint64(g.intUpTo(2)))
	return Command{Snapshot: &SnapshotPart{ID: "snap-" + other, UpTo: upTo, Index: g.intUpTo(2), Count: 2, Data: []byte("x")}}
}

// requestID returns a new request id or, in two of three calls, one of the last ten, whose claim may have been dropped.
func (g *generator) requestID() string {
	if len(g.requestIDs) > 0 && g.intUpTo(2) > 0 {
		return g.requestIDs[max(0, len(g.requestIDs)-1-g.intUpTo(9))]
	}
	id := ulid.ULID{15: 1}
	_ = id.SetTime(1 + g.state.Offset/8 + uint64(g.intUpTo(7)))
	g.requestIDs = append(g.requestIDs, id.String())
	return id.String()
}

func (g *generator) configure() *Configure {
	g.configureIDs++
	c := &Configure{ID: fmt.Sprint("c", g.configureIDs-g.intUpTo(1)), Expect: g.maybeStale(g.state.Config.Version)}
	for range 1 + g.intUpTo(1) {
		c.Changes = append(c.Changes, g.change())
	}
	if len(c.Changes) == 1 && c.Changes[0].WithdrawKey != nil {
		c.Expect = 0
	}
	return c
}

// maybeDelete returns a change that sets the named value, or occasionally one that deletes it.
func maybeDelete[T any](g *generator, name string, value T) *Object[T] {
	if g.intUpTo(4) == 0 {
		return &Object[T]{Name: name}
	}
	return &Object[T]{Name: name, Value: &value}
}

func (g *generator) change() Change {
	pool := g.pick("p1", "p2", "spare")
	server := g.intUpTo(5)
	switch g.intUpTo(12) {
	case 0, 1:
		name := g.pick("day", "peak", "")
		return Change{InForce: &name}
	case 2:
		return Change{Preset: maybeDelete(g, g.pick("day", "peak", ""), Preset{Maintenance: true, MaxDrains: g.intUpTo(3)})}
	case 3:
		return Change{AddKey: &Object[Key]{Name: g.pick("k1", "k2"), Value: &Key{Team: "a", Hash: fmt.Sprintf("%064d", g.intUpTo(3))}}}
	case 4:
		name := g.pick("k1", "k2")
		return Change{WithdrawKey: &name}
	case 5, 6:
		return Change{Team: maybeDelete(g, g.pick("a", "b"), Team{Limit: g.intUpTo(12), FirmPerEntryVM: g.intUpTo(2)})}
	case 7:
		return Change{Pool: maybeDelete(g, pool, Pool{Service: "svc", Min: g.intUpTo(2), MaxUnavailable: g.intUpTo(2)})}
	case 8:
		return Change{Service: maybeDelete(g, "svc", Service{MaxUnavailable: g.intUpTo(3)})}
	case 9:
		return Change{Rack: maybeDelete(g, g.pick("r1", "r2"), Rack{DataCentre: "d1", MaxUnavailable: g.intUpTo(2)})}
	case 10:
		return Change{DataCentre: maybeDelete(g, "d1", DataCentre{MaxUnavailable: g.intUpTo(3)})}
	case 11:
		return Change{EntryVM: maybeDelete(g, g.pick("e1", "e2"), EntryVM{DataCentre: "d1"})}
	}
	return Change{Server: maybeDelete(g, fmt.Sprint("s", server+1), declaredServer(server, pool))}
}

func declaredServer(i int, pool string) BackendServer {
	rack := fmt.Sprint("r", 1+i%2)
	return BackendServer{Address: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: "d1", Rack: rack, Pool: pool, Slots: 1, Connections: 1}
}

// initialBatch returns the batch that declares a small fleet.
func initialBatch() Batch {
	inForce := "day"
	changes := []Change{
		{Preset: &Object[Preset]{"day", &Preset{Maintenance: true, MaxDrains: 3}}},
		{Preset: &Object[Preset]{"peak", &Preset{}}},
		{InForce: &inForce},
		{DataCentre: &Object[DataCentre]{"d1", &DataCentre{MaxUnavailable: 3}}},
		{Service: &Object[Service]{"svc", &Service{MaxUnavailable: 3}}},
		{Team: &Object[Team]{"a", &Team{Share: 1, Limit: 10, FirmPerEntryVM: 2}}},
		{Team: &Object[Team]{"b", &Team{Share: 1, Limit: 6}}},
	}
	for _, name := range []string{"e1", "e2"} {
		changes = append(changes, Change{EntryVM: &Object[EntryVM]{name, &EntryVM{DataCentre: "d1"}}})
		changes = append(changes, Change{Rack: &Object[Rack]{"r" + name[1:], &Rack{DataCentre: "d1", MaxUnavailable: 2}}})
	}
	for _, name := range []string{"p1", "p2", "spare"} {
		changes = append(changes, Change{Pool: &Object[Pool]{name, &Pool{Service: "svc", Min: 0, MaxUnavailable: 2}}})
	}
	for i := range 6 {
		server := declaredServer(i, []string{"p1", "p2", "spare"}[i/2])
		changes = append(changes, Change{Server: &Object[BackendServer]{fmt.Sprint("s", i+1), &server}})
	}
	return Batch{Writer: "inc-0000", Seq: 1, Commands: []Command{{Configure: &Configure{ID: "first", Changes: changes}}}}
}
