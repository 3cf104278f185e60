package fleet

import (
	"fmt"
	"strings"

	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"

	"example.org/comfreyrouter/errkind"
)

// process is a writer as the generator sees it: it goes on writing after it was fenced or has left.
type process struct {
	vm, incarnation string
	seq             uint64
}

// generator draws batches that mostly fit the state, so that many are accepted, and sometimes are stale.
type generator struct {
	t         *rapid.T
	state     *State
	processes []*process
	ids       int
	used      []string // request ids
}

func (g *generator) pick(from ...string) string { return rapid.SampledFrom(from).Draw(g.t, "name") }
func (g *generator) upTo(n int) int             { return rapid.IntRange(0, n).Draw(g.t, "n") }

// stale returns n, or now and then a number that is near it.
func (g *generator) stale(n uint64) uint64 {
	if g.upTo(9) > 0 {
		return n
	}
	return n + uint64(g.upTo(2)) - min(n, 1)
}

func (g *generator) process() *process {
	if len(g.processes) < 2 || g.upTo(11) == 0 {
		p := &process{vm: g.pick("e1", "e2", "e3"), incarnation: fmt.Sprintf("inc-%04d", len(g.processes)+1)}
		g.processes = append(g.processes, p)
	}
	return g.processes[max(0, len(g.processes)-1-g.upTo(3))]
}

// batch returns up to three commands of one kind, so that an oracle can look at the state right after them.
func (g *generator) batch() Batch {
	p := g.process()
	p.seq++
	b := Batch{Writer: p.incarnation, Seq: p.seq}
	kind := rapid.SampledFrom(strings.Fields("join join configure configure configure renew leave fence expire release "+
		"ask ask give claim claim claim claim close finish finish health drain drain drain advance advance advance move move wave snapshot")).Draw(g.t, "kind")
	if _, joined := g.state.Members[p.incarnation]; !joined && g.upTo(3) > 0 {
		kind = "join"
	}
	for range 1 + g.upTo(2) {
		b.Commands = append(b.Commands, g.command(kind, p))
	}
	return b
}

func (g *generator) command(kind string, p *process) Command {
	other := g.processes[g.upTo(len(g.processes)-1)].incarnation
	vm := g.pick("s1", "s2", "s3", "s4", "s5", "s6")
	epoch := g.stale(g.state.VMs[vm].Epoch)
	team, pool := g.pick("a", "a", "b"), g.pick("p1", "p2", "spare")
	id := g.requestID()
	outcome := errkind.Outcome(g.pick("done", "unknown"))
	switch kind {
	case "join":
		return Command{Join: &Join{VM: p.vm, DataCentre: "d1", PeerAddress: p.vm}}
	case "configure":
		return Command{Configure: g.configure()}
	case "renew":
		return Command{Renew: &Renew{}}
	case "leave":
		return Command{Leave: &Leave{Issued: map[string]errkind.Outcome{id: outcome}}}
	case "fence":
		return Command{Fence: &Fence{Incarnation: other}}
	case "expire":
		return Command{Expire: &Expire{Incarnation: other, LeaseSeq: g.stale(g.state.Members[other].LeaseSeq)}}
	case "release":
		return Command{Release: &Release{Incarnation: other}}
	case "ask":
		return Command{RequestGrants: &RequestGrants{Wants: []TeamCount{{team, g.upTo(14)}, {team, g.upTo(14)}}}}
	case "give":
		return Command{ReturnGrants: &ReturnGrants{Keep: []TeamCount{{team, g.upTo(8)}}}}
	case "claim":
		return Command{Claim: &MakeClaim{Team: team, RequestID: id}}
	case "close":
		return Command{Close: &CloseClaim{Team: team, RequestID: id}}
	case "finish":
		return Command{Finish: &FinishClaim{Team: team, RequestID: id, Outcome: outcome}}
	case "health":
		return Command{Health: &ReportHealth{VM: vm, Down: g.upTo(2) == 0}}
	case "drain":
		return Command{Drain: &StartDrain{VM: vm, Epoch: epoch, Wave: g.pick("", "", "w")}}
	case "advance":
		to := Phase(g.pick("serving", "serving", "rebooting"))
		return Command{Phase: &AdvancePhase{VM: vm, Epoch: epoch, To: to, Abandon: g.upTo(2) == 0, Maintained: g.upTo(1) == 0}}
	case "move":
		return Command{Move: &StartMove{VM: vm, Epoch: epoch, To: pool, Layout: g.stale(g.state.Layout)}}
	case "wave":
		return Command{Wave: &SetWave{Name: "w", Pools: []string{pool}, State: WaveState(g.pick("planned", "running", "paused"))}}
	}
	upTo := g.state.Offset - min(g.state.Offset, uint64(g.upTo(2)))
	return Command{Snapshot: &SnapshotPart{ID: "snap-" + other, UpTo: upTo, Index: g.upTo(2), Count: 2, Data: []byte("x")}}
}

// requestID returns a new request id, or as often one of the last, whose claim may have been dropped.
func (g *generator) requestID() string {
	if len(g.used) > 0 && g.upTo(2) > 0 {
		return g.used[max(0, len(g.used)-1-g.upTo(9))]
	}
	id := ulid.ULID{15: 1}
	_ = id.SetTime(1 + g.state.Offset/8 + uint64(g.upTo(7)))
	g.used = append(g.used, id.String())
	return id.String()
}

func (g *generator) configure() *Configure {
	g.ids++
	c := &Configure{ID: fmt.Sprint("c", g.ids-g.upTo(1)), Expect: g.stale(g.state.Config.Version)}
	for range 1 + g.upTo(1) {
		c.Changes = append(c.Changes, g.change())
	}
	if len(c.Changes) == 1 && c.Changes[0].WithdrawKey != nil {
		c.Expect = 0
	}
	return c
}

// object returns a change of the named value, or now and then its deletion.
func object[T any](g *generator, name string, value T) *Object[T] {
	if g.upTo(4) == 0 {
		return &Object[T]{Name: name}
	}
	return &Object[T]{Name: name, Value: &value}
}

func (g *generator) change() Change {
	pool := g.pick("p1", "p2", "spare")
	server := g.upTo(5)
	switch g.upTo(12) {
	case 0, 1:
		name := g.pick("day", "peak", "")
		return Change{InForce: &name}
	case 2:
		return Change{Preset: object(g, g.pick("day", "peak", ""), Preset{Maintenance: true, MaxDrains: g.upTo(3)})}
	case 3:
		return Change{AddKey: &Object[Key]{Name: g.pick("k1", "k2"), Value: &Key{Team: "a", Hash: fmt.Sprintf("%064d", g.upTo(3))}}}
	case 4:
		name := g.pick("k1", "k2")
		return Change{WithdrawKey: &name}
	case 5, 6:
		return Change{Team: object(g, g.pick("a", "b"), Team{Limit: g.upTo(12), FirmPerEntryVM: g.upTo(2)})}
	case 7:
		return Change{Pool: object(g, pool, Pool{Service: "svc", Min: g.upTo(2), MaxUnavailable: g.upTo(2)})}
	case 8:
		return Change{Service: object(g, "svc", Service{MaxUnavailable: g.upTo(3)})}
	case 9:
		return Change{Rack: object(g, g.pick("r1", "r2"), Rack{DataCentre: "d1", MaxUnavailable: g.upTo(2)})}
	case 10:
		return Change{Centre: object(g, "d1", DataCentre{MaxUnavailable: g.upTo(3)})}
	case 11:
		return Change{EntryVM: object(g, g.pick("e1", "e2"), EntryVM{DataCentre: "d1"})}
	}
	return Change{Server: object(g, fmt.Sprint("s", server+1), declaredServer(server, pool))}
}

func declaredServer(i int, pool string) BackendServer {
	rack := fmt.Sprint("r", 1+i%2)
	return BackendServer{Address: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: "d1", Rack: rack, Pool: pool, Slots: 1, Connections: 1}
}

// firstBatch declares a small fleet.
func firstBatch() Batch {
	inForce := "day"
	changes := []Change{
		{Preset: &Object[Preset]{"day", &Preset{Maintenance: true, MaxDrains: 3}}},
		{Preset: &Object[Preset]{"peak", &Preset{}}},
		{InForce: &inForce},
		{Centre: &Object[DataCentre]{"d1", &DataCentre{MaxUnavailable: 3}}},
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
