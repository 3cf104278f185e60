package jobnode

import (
	"cmp"
	"context"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/comfreyrouter/autoscale"
	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/forecast"
	"example.org/comfreyrouter/internal/boottime"
	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/ledger"
	"example.org/comfreyrouter/platform"
	"example.org/comfreyrouter/upkeep"
)

const (
	// machinesPause is the pause between two looks at the machines. Each look at the list has a price; demand turns within a second.
	machinesPause = 200 * time.Millisecond
	// endingPause is the pause while the list hasn't shown yet that an accepted order has ended tasks.
	endingPause = 50 * time.Millisecond
	// listPause is the least pause between two looks as a multiple of the time that the last one took. A list of hundreds of machines would
	// otherwise use up the link of a small node, and the records of the ledger would wait behind it.
	listPause = 4
	// leastMachines is the least number of machines of a pool, so that the first tasks of a turn start before machines can come.
	leastMachines = 3
	// turnMargin is added to the least time between the orders of two holders for one machine: an order follows its record within
	// announceTimeout, and is on its way for some milliseconds.
	turnMargin = announceTimeout + 300*time.Millisecond
	// announceTimeout bounds the wait until an order is in the ledger, and announcePause is the pause between two looks.
	announceTimeout = 400 * time.Millisecond
	announcePause   = 4 * time.Millisecond
	// ordersShare is the share of the platform's rate of orders that is used, and ordersBurst the time for which unused orders are kept: what
	// is beyond the rate is refused, and each refusal has a price.
	ordersShare = 0.9
	ordersBurst = 500 * time.Millisecond
	// unknownAfter is how long after a machine came up, or after a takeover, a server may be unknown: entries are written each 1.5 s and read
	// within 0.3 s.
	unknownAfter = 2500 * time.Millisecond
	// firstDemandWithin is how long a new dispatcher that has seen no demand leaves the pools as they are: callers come about 10 s after a fleet
	// has started.
	firstDemandWithin = 15 * time.Second
	// firstDemandLasts is how long after the first demand the pools are not parked: machines then go straight to where they are needed, and the
	// platform's rate of orders isn't used up by parking.
	firstDemandLasts = 4 * time.Second
	// clockDifference bounds the difference between the times of day of two machines.
	clockDifference = 2500 * time.Millisecond
	// orderRepeat is the pause before an order without an answer is repeated.
	orderRepeat = 700 * time.Millisecond
)

// keeper carries out waves and moves for a dispatcher.
type keeper struct {
	*dispatcher
	planner  *upkeep.Planner
	pools    *autoscale.Planner
	repeats  map[string]autoscale.Move // moves without an answer, by machine
	reported map[int64]string          // state of each wave that operators were told
	ending   map[string]ending         // servers that ended with an accepted order, unless it had taken effect before; by machine
	listTook time.Duration             // the last look at the machines
	reads    link
	upSince  map[string]sighting // by machine
	tokens   float64             // orders that the platform takes now
	tokensAt time.Duration
	mu       sync.Mutex // guards what the answers to orders change
	fenced   bool
}

// keepMachines carries out waves and moves.
func (d *dispatcher) keepMachines(ctx context.Context) {
	if d.node.machines == nil {
		return
	}
	k := &keeper{
		dispatcher: d, planner: upkeep.New(d.node.settings.Bounds.UpkeepDuration), pools: autoscale.New(),
		reads: link{name: "list of machines", log: d.log}, repeats: map[string]autoscale.Move{},
		upSince: map[string]sighting{}, reported: map[int64]string{}, ending: map[string]ending{},
	}
	for ctx.Err() == nil && !k.fenced {
		k.planner.AddWaves(d.operators.allWaves(), k.storedWave)
		k.round(ctx)
		k.report(ctx)
		sleep(ctx, k.pause())
	}
}

// ending is a server whose machine was ordered away.
type ending struct {
	server string
	busy   bool // something ran there, which starts elsewhere once the list shows that the order has taken effect
}

// pause returns the pause before the next look at the machines.
func (k *keeper) pause() time.Duration {
	pause := machinesPause
	for _, e := range k.ending {
		if e.busy {
			pause = endingPause
		}
	}
	return max(pause, listPause*k.listTook)
}

// announce stores that this dispatcher orders machines, and returns those that it may order. A machine that a former dispatcher has ordered a moment
// ago has to wait: two holders must not order one machine by turns. All machines of a round are waited for together, since hundreds of waits of
// their own use up the processor that reads the ledger.
func (k *keeper) announce(ctx context.Context, machines []string) map[string]bool {
	order := ledger.MachineOrder{Epoch: k.place.Epoch, AtMS: time.Now().UnixMilli()}
	waiting := slices.DeleteFunc(slices.Clone(machines), func(machine string) bool { return !k.quiet(machine) })
	k.update(func(c *dispatch.Core) {
		for _, machine := range waiting {
			c.QueueRecord(ledger.MachineRecord(machine, order))
		}
	})
	announced := map[string]bool{}
	for deadline := boottime.Now() + announceTimeout; len(waiting) > 0 && boottime.Now() < deadline && ctx.Err() == nil; sleep(ctx, announcePause) {
		waiting = slices.DeleteFunc(waiting, func(machine string) bool {
			o, ok := k.lastOrder(machine)
			announced[machine] = ok && o == order
			return announced[machine]
		})
	}
	return announced
}

// quiet reports whether no former dispatcher can have ordered a machine within the time in which holders must not take turns.
func (k *keeper) quiet(machine string) bool {
	turn := k.node.settings.Bounds.HandoverInterval + turnMargin
	if boottime.Now()-k.acquired > turn {
		return true
	}
	o, ordered := k.lastOrder(machine)
	if !ordered || o.Epoch == k.place.Epoch || boottime.Now()-k.follower.orderSeen(machine) > turn {
		return true
	}
	// A node that has started lately has read all orders lately; the time of day in the record tells of the older ones.
	return time.Duration(time.Now().UnixMilli()-o.AtMS)*time.Millisecond > turn+clockDifference
}

func (k *keeper) lastOrder(machine string) (ledger.MachineOrder, bool) {
	k.follower.mu.Lock()
	defer k.follower.mu.Unlock()
	o, ok := k.follower.ledger.Machines[machine]
	return o, ok
}

// storedWave returns the machines that the ledger has as done for a wave.
func (d *dispatcher) storedWave(number int64) []string {
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	return d.follower.ledger.Waves[strconv.FormatInt(number, 10)]
}

// list reads the machines, and ends the servers of those whose order has taken effect.
func (k *keeper) list(ctx context.Context) ([]jobs.Machine, bool) {
	sent := boottime.Now()
	machines, err := k.node.machines.List(ctx)
	k.listTook = boottime.Now() - sent
	k.reads.report(err)
	if err != nil {
		return nil, false
	}
	k.update(func(c *dispatch.Core) {
		c.UpdateMachines(machines)
		for _, m := range machines {
			e, ok := k.ending[m.ID]
			if !ok {
				continue
			}
			delete(k.ending, m.ID)
			if m.Up && m.Server == e.server {
				c.Cordon(e.server, false) // the machine had its upkeep before, and nothing has happened to the server
				continue
			}
			c.ServerTerminated(e.server)
		}
	})
	k.wakeUp()
	return machines, true
}

// round does what is due now.
func (k *keeper) round(ctx context.Context) {
	if !k.holdsPlace() {
		return
	}
	machines, ok := k.list(ctx)
	if !ok {
		return
	}
	orders := k.planner.UnansweredOrders(boottime.Now(), orderRepeat)
	servers := make(map[string]string, len(machines))
	for _, m := range machines {
		servers[m.ID] = m.Server
	}
	moves := make([]autoscale.Move, 0, len(k.repeats))
	for _, m := range k.repeats {
		moves = append(moves, m)
	}
	budget := k.budget() - len(orders) - len(moves)
	k.update(func(c *dispatch.Core) {
		c.SetUpkeepDue(k.planner.DueServers(machines))
		planned := k.planMoves(c, machines, servers, movesOf(budget, k.planner.HasOpenWaves()))
		moves = append(moves, planned...)
		orders = append(orders, k.planUpkeep(c, machines, budget-len(planned))...)
	})
	k.send(ctx, moves, orders, servers)
}

// send orders moves and upkeep, once it is stored that this dispatcher orders those machines.
func (k *keeper) send(ctx context.Context, moves []autoscale.Move, orders []upkeep.Action, servers map[string]string) {
	var machines []string
	for _, m := range moves {
		machines = append(machines, m.Machine)
	}
	for _, a := range orders {
		machines = append(machines, a.Machine)
	}
	if len(machines) == 0 {
		return
	}
	begun := boottime.Now()
	announced := k.announce(ctx, machines)
	// An order that waited for a free connection would go out when a successor may have ordered the machine.
	calls := make(chan struct{}, platform.MaxMachineOrders)
	may := func(machine string) bool {
		return announced[machine] && boottime.Now()-begun < turnMargin && k.holdsPlace()
	}
	var wg sync.WaitGroup
	run := func(call func()) {
		wg.Go(func() {
			calls <- struct{}{}
			defer func() { <-calls }()
			call()
		})
	}
	for _, m := range moves {
		run(func() { k.move(ctx, m, servers[m.Machine], may(m.Machine)) })
	}
	for _, a := range orders {
		run(func() { k.order(ctx, a, may(a.Machine)) })
	}
	wg.Wait()
}

// moveShare is the share of the orders that moves may use while a wave is open. A turn of the demand asks for more moves than the platform takes, and
// the wave would wait until it is over.
const moveShare = 0.65

// movesOf returns how many of a round's orders moves may use.
func movesOf(budget int, waveOpen bool) int {
	if !waveOpen {
		return budget
	}
	return int(math.Ceil(moveShare * float64(budget)))
}

// budget returns how many orders the platform takes in this round.
func (k *keeper) budget() int {
	now := boottime.Now()
	rate := k.node.settings.MachineOrderRate * ordersShare
	k.tokens = min(k.tokens+rate*(now-k.tokensAt).Seconds(), rate*ordersBurst.Seconds())
	k.tokensAt = now
	return int(k.tokens)
}

// planUpkeep cordons servers and returns the upkeep to order now.
func (k *keeper) planUpkeep(c *dispatch.Core, machines []jobs.Machine, most int) []upkeep.Action {
	var orders []upkeep.Action
	for _, a := range k.planner.Plan(boottime.Now(), machines, c, most) {
		if a.Cordon {
			c.Cordon(a.Server, true)
			continue
		}
		orders = append(orders, a)
	}
	return orders
}

// waitsForDemand reports whether this dispatcher is new and has seen no demand yet. Pools then stay as operators laid them out, so that the
// first turn finds more than the least machines.
func (k *keeper) waitsForDemand() bool {
	k.follower.mu.Lock()
	defer k.follower.mu.Unlock()
	if k.follower.history.Empty() {
		return boottime.Now()-k.acquired < firstDemandWithin
	}
	return k.follower.history.Age(time.Now().UnixMilli()) < firstDemandLasts.Milliseconds()
}

// planMoves returns the moves to order now.
func (k *keeper) planMoves(c *dispatch.Core, machines []jobs.Machine, servers map[string]string, most int) []autoscale.Move {
	k.pools.SetParking(!k.waitsForDemand())
	moves := k.pools.Plan(boottime.Now(), k.poolStates(c), k.movable(c, machines))
	released := map[string]bool{}
	for _, machine := range k.pools.Released() {
		released[servers[machine]] = true
	}
	c.SetReleased(released)
	coming := map[string]dispatch.ArrivingServers{}
	for pool, a := range k.pools.Arrivals(boottime.Now()) {
		coming[pool] = dispatch.ArrivingServers{Count: a.Machines, ArrivingIn: a.In}
	}
	c.SetArrivingServers(coming)
	for i, m := range moves {
		if i >= most {
			k.pools.Forget(m.Machine) // planned again in the next round
			continue
		}
		c.Ending(servers[m.Machine])
	}
	return moves[:max(0, min(len(moves), most))]
}

// forecast returns the services whose turn is expected next, and by how much the need of each service rises until machines come.
func (k *keeper) forecast(config *jobs.Configuration) (map[string]forecast.Peak, map[string]jobs.Resources) {
	now := time.Now().UnixMilli()
	next, trends := map[string]forecast.Peak{}, map[string]jobs.Resources{}
	k.follower.mu.Lock()
	defer k.follower.mu.Unlock()
	for _, n := range k.follower.history.NextPeaks(now) {
		next[n.Service] = n
	}
	for name := range config.Services {
		trends[name] = k.follower.history.ExpectedRise(name, now, autoscale.MoveLatency.Milliseconds())
	}
	return next, trends
}

// poolStates returns the pools of the configuration with what their tasks need.
func (k *keeper) poolStates(c *dispatch.Core) []autoscale.Pool {
	config := k.operators.view().config
	demands := c.Demands()
	next, trends := k.forecast(config)
	pools := make([]autoscale.Pool, 0, len(config.Services))
	for name, s := range config.Services {
		d := demands[name]
		pool := autoscale.Pool{Name: name, Spare: s.Spare, Need: d.Need, MinMachines: max(d.MinServers, leastMachines)}
		pool.Need = pool.Need.Add(trends[name])
		if n, expected := next[name]; expected {
			pool.PeakNeed, pool.PeakIn = d.LongRunning.Add(n.Need), jobs.Milliseconds(n.InMS)
		}
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b autoscale.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return pools
}

// arrives reports whether a machine has come up so lately that its server may not be listed yet.
func (k *keeper) arrives(m jobs.Machine) bool {
	now := boottime.Now()
	if seen, ok := k.upSince[m.ID]; !ok || seen.server != m.Server {
		k.upSince[m.ID] = sighting{m.Server, now}
		return true
	}
	return now-k.upSince[m.ID].at < unknownAfter
}

// sighting is when a machine was first listed with a server.
type sighting struct {
	server string
	at     time.Duration
}

func (k *keeper) movable(c *dispatch.Core, machines []jobs.Machine) []autoscale.Machine {
	out := make([]autoscale.Machine, 0, len(machines))
	config := k.operators.view().config
	settled := boottime.Now()-k.acquired > unknownAfter
	for _, m := range machines {
		empty, idle := c.Idle(m.Server)
		_, repeated := k.repeats[m.ID]
		_, ending := k.ending[m.ID]
		out = append(out, autoscale.Machine{
			ID: m.ID, Pool: m.Pool, Up: m.Up, Capacity: m.Capacity, Empty: empty, IdleFor: idle, Locked: repeated || ending || k.planner.InProgress(m.ID) || !k.quiet(m.ID),
			Tasks: c.Load(m.Server), LongRunning: c.LongRunning(m.Server) > 0, DataCentre: m.DataCentre, Unreachable: m.Up && !c.Reachable(m.Server) && settled && !config.Services[m.Pool].Spare && !k.arrives(m),
		})
	}
	return out
}

// move orders a move, if it may. Otherwise it is planned again.
func (k *keeper) move(ctx context.Context, m autoscale.Move, server string, may bool) {
	result := platform.OrderRefused
	if may {
		result = k.node.machines.Move(ctx, k.node.settings.Name, k.place.Epoch, m.Machine, m.To)
	}
	events.Log(k.log, events.MoveOrdered, m.Machine, server, m.From, m.To, int(result))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tokens--
	delete(k.repeats, m.Machine)
	switch result {
	case platform.OrderAccepted:
		if server != "" {
			k.ending[m.Machine] = ending{server: server}
		}
	case platform.OrderUnknown:
		k.repeats[m.Machine] = m
	case platform.OrderFenced:
		k.fenced = true
	case platform.OrderBusy, platform.OrderRefused, platform.OrderUnavailable:
		k.pools.Forget(m.Machine)
		k.update(func(c *dispatch.Core) { c.Cordon(server, false) })
	}
}

// holdsPlace reports whether this node is the dispatcher for certain. Orders for machines aren't given in the grace after the tenure.
func (d *dispatcher) holdsPlace() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return boottime.Now()-d.renewed < tenure
}

// order orders the upkeep of a machine, if it may. Otherwise it is planned again.
func (k *keeper) order(ctx context.Context, a upkeep.Action, may bool) {
	result := platform.OrderRefused
	if may {
		result = k.node.machines.Upkeep(ctx, k.node.settings.Name, k.place.Epoch, a.Machine, a.Wave)
	}
	events.Log(k.log, events.UpkeepOrdered, a.Machine, a.Server, a.Wave, int(result))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tokens--
	switch result {
	case platform.OrderAccepted:
		k.planner.MarkAccepted(a.Wave, a.Machine)
		k.ending[a.Machine] = ending{a.Server, true}
		k.update(func(c *dispatch.Core) { c.QueueRecord(ledger.WaveRecord(a.Wave, k.planner.StartedMachines(a.Wave))) })
	case platform.OrderUnknown:
	case platform.OrderFenced:
		k.fenced = true
	case platform.OrderBusy, platform.OrderRefused, platform.OrderUnavailable:
		k.planner.MarkRefused(a.Wave, a.Machine)
		k.update(func(c *dispatch.Core) { c.Cordon(a.Server, false) })
	}
}

// report tells operators how far the waves are.
func (k *keeper) report(ctx context.Context) {
	complete := map[int64]bool{}
	for _, n := range k.planner.CompletedWaves() {
		complete[n] = true
	}
	for _, w := range k.operators.allWaves() {
		state := string(jobs.Running)
		if complete[w.Number] {
			state = string(jobs.Complete)
		}
		if k.reported[w.Number] == state {
			continue
		}
		record := platform.Record{Key: platform.KeyWavePrefix + strconv.FormatInt(w.Number, 10), Value: platform.EncodeWaveStatus(complete[w.Number])}
		if _, err := k.store.Append(ctx, platform.TopicStatus, []platform.Record{record}, nil); err != nil {
			events.Log(k.log, events.DependencyLost, "status of waves", err)
			continue
		}
		k.reported[w.Number] = state
		if complete[w.Number] {
			events.Log(k.log, events.WaveComplete, w.Number)
		}
	}
}
