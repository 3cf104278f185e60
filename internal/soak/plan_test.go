package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of event in a plan.
type kind string

const (
	// Planned work. No request may be cut off by it.
	stopNode          kind = "stop a node"   // SIGTERM, and a start once it has ended
	reloadNode        kind = "reload a node" // SIGHUP
	changeConfig      kind = "change the configuration"
	cancelJobs        kind = "cancel jobs"
	submitLongRunning kind = "submit a long-running job"
	killNode          kind = "kill a node" // SIGKILL, and a start after a while
	killDispatcher    kind = "kill the node that dispatches"
	freezeNode        kind = "freeze a node"  // SIGSTOP and SIGCONT
	cutZone           kind = "cut off a zone" // from the store, and from the nodes and servers of other zones
	cutDispatcher     kind = "cut off the zone of the dispatcher"
	cutNode           kind = "cut a node off from the store"
	rejectNode        kind = "let the store reject a node"
	cutServer         kind = "cut off a server"
	restartServer     kind = "restart a server"     // under its id, with its connections closed
	powerCycleServer  kind = "power-cycle a server" // under its id, with silent connections
	loseServer        kind = "lose a server"        // with its machine, for good
	storeDown         kind = "take the store down"
	loseAnswers       kind = "lose answers of the store"
	truncateHistory   kind = "truncate the store's history"
	requestWave       kind = "request a wave of upkeep"
	submitService     kind = "submit a service that tolerates one miss"
	resetOrders       kind = "reset orders for machines"
	delayOrders       kind = "delay orders for machines"
	killAfterOrder    kind = "delay an order for a machine, and kill the node that dispatches"
	darkenServer      kind = "take a server's power for seconds" // longer than its leases last
)

// planned says which kinds are planned work or part of the load.
var planned = map[kind]bool{stopNode: true, reloadNode: true, changeConfig: true, cancelJobs: true, submitLongRunning: true, requestWave: true, submitService: true}

// event is an event that begins at a time after the start of the load.
type event struct {
	at, lasts time.Duration
	kind      kind
	target    int // number of the node, zone or server
}

func (e event) String() string {
	return fmt.Sprintf("%v: %s %d for %v", e.at, e.kind, e.target, e.lasts)
}

// weight says how often a kind of event is drawn.
type weight struct {
	kind   kind
	weight int
}

// serverWeights are those of plans in which above all servers fail.
var serverWeights = []weight{
	{submitLongRunning, 2},
	{powerCycleServer, 12},
	{restartServer, 2},
	{cutServer, 3},
	{killNode, 1},
	{cutDispatcher, 1},
}

// viewWeights are those of plans in which nodes fall behind on the operators' records.
var viewWeights = []weight{
	{changeConfig, 10},
	{rejectNode, 8},
	{cutNode, 1},
	{killNode, 1},
	{freezeNode, 1},
}

// waveWeights are those of plans in which machines have their upkeep in waves.
var waveWeights = []weight{
	{requestWave, 4},
	{submitService, 4},
	{resetOrders, 5},
	{delayOrders, 1},
	{killAfterOrder, 2},
	{darkenServer, 5},
	{powerCycleServer, 1},
}

// allWeights are those of plans with every kind of event. The first phase of a plan has planned work only.
var allWeights = []weight{
	{stopNode, 4},
	{reloadNode, 3},
	{changeConfig, 3},
	{cancelJobs, 2},
	{submitLongRunning, 4},
	{killNode, 4},
	{freezeNode, 3},
	{cutZone, 2},
	{cutDispatcher, 4},
	{cutNode, 2},
	{rejectNode, 2},
	{cutServer, 3},
	{restartServer, 4},
	{powerCycleServer, 4},
	{loseServer, 1},
	{storeDown, 2},
	{loseAnswers, 2},
	{truncateHistory, 1},
}

const (
	plannedPhase = 6 * time.Second         // of the plan, with planned work only
	maxPause     = 1800 * time.Millisecond // between two events or series
	seriesGap    = 250 * time.Millisecond  // between the events of a series
	burstGap     = 10 * time.Millisecond   // between the events of every second series
	maxSeries    = 4                       // events of a series
	maxLost      = 2                       // servers that are lost for good
	// maxCut is the longest cut, freeze or outage that the users' sites have.
	maxCut = 5500 * time.Millisecond
	// minDark is the shortest time without power that outlasts the leases of a server.
	minDark = 4500 * time.Millisecond
	// maxRejected is the longest time for which the store rejects a node.
	maxRejected = 9 * time.Second
)

// newPlan draws the events of a seed for a while. Events come alone or in series, and overlap. A series has one kind of fault, or any planned work, and every
// second series has one target.
func newPlan(seed uint64, weights []weight, length time.Duration, nodes, servers int) []event {
	rng := rand.New(rand.NewPCG(seed, 1))
	plan := []event{{kind: submitLongRunning, target: rng.IntN(servers)}, {kind: submitLongRunning, target: rng.IntN(servers)}}
	lost := 0
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(maxPause))) {
		k, gap, target, sameTarget := drawKind(rng, weights, at < plannedPhase), seriesGap, rng.IntN(max(nodes, servers)), rng.IntN(2) == 0
		if rng.IntN(2) == 0 {
			gap = burstGap
		}
		for n := range 1 + rng.IntN(maxSeries) {
			if n > 0 && planned[k] {
				k = drawKind(rng, weights, true)
			}
			if !sameTarget {
				target = rng.IntN(max(nodes, servers))
			}
			if k == loseServer {
				if lost++; lost > maxLost {
					break
				}
			}
			e := event{at: at + time.Duration(n)*gap, kind: k, target: target}
			e.lasts = 200*time.Millisecond + time.Duration(rng.Int64N(int64(maxCut-200*time.Millisecond)))
			if k == restartServer || k == powerCycleServer {
				e.lasts /= 4
			}
			if k == darkenServer {
				e.lasts = minDark + time.Duration(rng.Int64N(int64(maxCut-minDark)))
			}
			if k == rejectNode {
				e.lasts = time.Duration(float64(e.lasts) * maxRejected.Seconds() / maxCut.Seconds())
			}
			plan = append(plan, e)
			if rng.IntN(2) == 0 {
				break
			}
		}
	}
	return inOrder(plan)
}

const (
	firstOutage = 3 * time.Second // of the plan, in which jobs begin
	// Half of the servers are without power for minOutage and up to spreadOutage more, reach all nodes for up to maxReach, and are cut off for minOutageCut
	// and up to spreadOutageCut more: longer than the time in which a dispatcher takes their leases for over, and shorter than the longest lease.
	minOutage       = 100 * time.Millisecond
	spreadOutage    = 600 * time.Millisecond
	maxReach        = 2 * time.Second
	minOutageCut    = 4 * time.Second
	spreadOutageCut = 3 * time.Second
	// The next outage begins between outageOverlap before and spreadPauses-outageOverlap after the end of the cut.
	outageOverlap = time.Second
	spreadPauses  = 3 * time.Second
	// killOdds is one of how many outages is followed by the end of the dispatcher's process, before the cut.
	killOdds = 3
)

// newOutagePlan draws outages for a while. In each, half of the servers lose power at once, come back under their ids, and are cut off from all nodes.
func newOutagePlan(seed uint64, length time.Duration, servers int) []event {
	rng := rand.New(rand.NewPCG(seed, 4))
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	plan := []event{{kind: submitLongRunning, target: rng.IntN(servers)}, {kind: submitLongRunning, target: rng.IntN(servers)}}
	for at := firstOutage; at < length; {
		half, back := rng.Perm(servers)[:servers/2], at
		for _, i := range half {
			e := event{at: at, lasts: minOutage + upTo(spreadOutage), kind: powerCycleServer, target: i}
			back = max(back, at+e.lasts)
			plan = append(plan, e)
		}
		reach, lasts := upTo(maxReach), minOutageCut+upTo(spreadOutageCut)
		for _, i := range half {
			plan = append(plan, event{at: back + reach, lasts: lasts, kind: cutServer, target: i})
		}
		if rng.IntN(killOdds) == 0 {
			plan = append(plan, event{at: back + upTo(reach+1), lasts: upTo(maxCut), kind: killDispatcher})
		}
		at = back + reach + lasts + upTo(spreadPauses) - outageOverlap
	}
	return inOrder(plan)
}

// inOrder sorts events by their times.
func inOrder(plan []event) []event {
	slices.SortStableFunc(plan, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return plan
}

func drawKind(rng *rand.Rand, weights []weight, onlyPlanned bool) kind {
	total := 0
	for _, w := range weights {
		if !onlyPlanned || planned[w.kind] {
			total += w.weight
		}
	}
	n := rng.IntN(total)
	for _, w := range weights {
		if onlyPlanned && !planned[w.kind] {
			continue
		}
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	panic("unreachable: the weights add up to the total")
}
