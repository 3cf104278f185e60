package jobnode

import (
	"cmp"
	"context"
	"maps"
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
	// machineListDelay is the delay between two reads of the machine list. Each read is billed, and demand changes within a second.
	machineListDelay = 200 * time.Millisecond
	// terminationListDelay is the delay while the list doesn't show yet that an accepted order has ended tasks.
	terminationListDelay = 50 * time.Millisecond
	// listDelayFactor is the minimum delay between two reads as a multiple of the duration of the last one. A list of hundreds of machines would
	// otherwise saturate the link of a small node, and delay the records of the ledger.
	listDelayFactor = 4
	// minPoolMachines is the minimum number of machines in a pool, so that the first tasks of a demand peak start before more machines can arrive.
	minPoolMachines = 3
	// handoverMargin is added to the minimum interval between the orders of two dispatchers for one machine: an order follows its record within
	// putTimeout, and takes some milliseconds to arrive.
	handoverMargin = putTimeout + 300*time.Millisecond
	// orderRateShare is the share of the platform's order rate that is used, and orderBurst the time for which unused orders accumulate. The
	// platform refuses orders beyond the rate, and bills each refusal.
	orderRateShare = 0.9
	orderBurst     = 500 * time.Millisecond
	// serverListingTimeout is how long after the start of a machine, or after a takeover, its server may be missing from the list: entries are
	// written every 1.5 s and read within 0.3 s.
	serverListingTimeout = 2500 * time.Millisecond
	// firstDemandTimeout is how long a new dispatcher that has seen no demand leaves the pools unchanged: callers arrive about 10 s after the start
	// of a fleet.
	firstDemandTimeout = 15 * time.Second
	// parkingDelay is how long after the first demand no machines are parked: they then move directly to where they are needed, and parking doesn't
	// use up the platform's order rate.
	parkingDelay = 4 * time.Second
	// maxClockSkew bounds the difference between the wall clocks of two machines.
	maxClockSkew = 2500 * time.Millisecond
	// orderRetryDelay is the delay before an unanswered order is repeated.
	orderRetryDelay = 700 * time.Millisecond
)

// machineController carries out waves and moves for a dispatcher.
type machineController struct {
	*dispatcher
	upkeepPlanner   *upkeep.Planner
	autoscaler      *autoscale.Planner
	unansweredMoves map[string]autoscale.Move // by machine
	reportedWaves   map[int64]jobs.Phase      // state of each wave that was last reported to operators
	terminating     map[string]termination    // servers whose machine has an accepted order, until the list shows whether it took effect; by machine
	listDuration    time.Duration             // of the last read of the machine list
	reads           dependencyLog
	usage           autoscale.Usage
	useLoggedAt     time.Duration
	firstListed     map[string]listing // when each machine was first listed with its current server
	tokens          float64            // orders that the platform accepts now
	tokensAt        time.Duration
	mu              sync.Mutex // guards what the answers to orders change
	fenced          bool       // the platform has refused an order, because another holder has used a higher fencing token
}

// controlMachines carries out waves and moves until ctx ends or the platform fences an order.
func (d *dispatcher) controlMachines(ctx context.Context) {
	if d.node.machines == nil {
		return
	}
	mc := &machineController{
		dispatcher: d, upkeepPlanner: upkeep.New(d.node.settings.Bounds.UpkeepDuration), autoscaler: autoscale.New(),
		reads: dependencyLog{name: "list of machines", log: d.log}, unansweredMoves: map[string]autoscale.Move{},
		firstListed: map[string]listing{}, reportedWaves: map[int64]jobs.Phase{}, terminating: map[string]termination{},
	}
	for ctx.Err() == nil && !mc.fenced {
		mc.upkeepPlanner.AddWaves(d.operators.allWaves(), mc.storedWave)
		mc.runRound(ctx)
		mc.reportWaves(ctx)
		sleep(ctx, mc.listDelay())
	}
}

// termination is a server that an accepted order for its machine ends.
type termination struct {
	server   string
	hadTasks bool // tasks ran there; they start elsewhere once the list shows that the order has taken effect
}

// listDelay returns the delay before the next read of the machine list.
func (mc *machineController) listDelay() time.Duration {
	delay := machineListDelay
	for _, t := range mc.terminating {
		if t.hadTasks {
			delay = terminationListDelay
		}
	}
	return max(delay, listDelayFactor*mc.listDuration)
}

// announce stores in the ledger that this dispatcher orders machines, and returns the machines that it may order. A machine that a predecessor has
// ordered recently has to wait, because two dispatchers must not order one machine in quick succession. An append of this dispatcher that the store
// accepts precedes every record of a successor, so the orders needn't wait until the ledger has been read up to it.
func (mc *machineController) announce(moves []autoscale.Move, orders []upkeep.Action) map[string]bool {
	var records []ledger.Record
	announced, now, atMS := map[string]bool{}, boottime.Now(), time.Now().UnixMilli()
	add := func(machine string, wave int64) {
		if mc.handoverElapsed(machine, now) {
			announced[machine] = true
			records = append(records, ledger.MachineRecord(machine, ledger.MachineOrder{Epoch: mc.role.Epoch, AtMS: atMS, Wave: wave}))
		}
	}
	for _, m := range moves {
		add(m.Machine, 0)
	}
	for _, a := range orders {
		add(a.Machine, a.Wave)
	}
	if len(records) == 0 || mc.storeForNode(records) != PutStored {
		return nil
	}
	return announced
}

// handoverElapsed reports whether no predecessor can have ordered a machine within the handover interval before a time. The caller reads the clock once for
// all machines, because reading it is a system call.
func (mc *machineController) handoverElapsed(machine string, now time.Duration) bool {
	interval := mc.node.settings.Bounds.HandoverInterval + handoverMargin
	if now-mc.acquiredAt > interval {
		return true
	}
	o, ordered := mc.lastMachineOrder(machine)
	if !ordered || o.Epoch == mc.role.Epoch || now-mc.follower.machineOrderSeenAt(machine) > interval {
		return true
	}
	// A recently started node has read all orders recently, so only the wall-clock time in the record shows that an order is older.
	return time.Duration(time.Now().UnixMilli()-o.AtMS)*time.Millisecond > interval+maxClockSkew
}

func (mc *machineController) lastMachineOrder(machine string) (ledger.MachineOrder, bool) {
	mc.follower.mu.Lock()
	defer mc.follower.mu.Unlock()
	o, ok := mc.follower.ledger.Machines[machine]
	return o, ok
}

// storedWave returns what former dispatchers have stored about a wave.
func (d *dispatcher) storedWave(number int64) upkeep.Stored {
	d.follower.mu.Lock()
	defer d.follower.mu.Unlock()
	stored := upkeep.Stored{Started: d.follower.ledger.Waves[strconv.FormatInt(number, 10)]}
	for machine, o := range d.follower.ledger.Machines {
		if o.Wave == number && number != 0 && o.Epoch != d.role.Epoch && d.follower.mayBeCarriedOut(machine, o) {
			stored.Ordered = append(stored.Ordered, machine)
		}
	}
	return stored
}

// mayBeCarriedOut reports whether the last order for a machine, which was sent within handoverMargin after its record, may still be carried out. f.mu must
// be held.
func (f *follower) mayBeCarriedOut(machine string, o ledger.MachineOrder) bool {
	const lasts = handoverMargin + upkeep.MaxOrderDelay
	age := time.Duration(time.Now().UnixMilli()-o.AtMS) * time.Millisecond
	return boottime.Now()-f.orderSeenAt[machine] <= lasts && age <= lasts+maxClockSkew
}

// listMachines reads the machine list. It records the servers of machines whose order has taken effect as terminated.
func (mc *machineController) listMachines(ctx context.Context) ([]jobs.Machine, bool) {
	sent := boottime.Now()
	machines, err := mc.node.machines.List(ctx)
	mc.listDuration = boottime.Now() - sent
	mc.reads.report(err)
	if err != nil {
		return nil, false
	}
	mc.machineList.Store(&machines)
	mc.update(func(c *dispatch.Core) {
		c.UpdateMachines(machines)
		for _, m := range machines {
			t, ok := mc.terminating[m.ID]
			if !ok {
				continue
			}
			delete(mc.terminating, m.ID)
			if m.Up && m.Server == t.server {
				c.Cordon(t.server, false) // the machine had its upkeep before, so the order did nothing to the server
				continue
			}
			c.ServerTerminated(t.server)
		}
	})
	mc.wakeUp()
	return machines, true
}

// runRound reads the machine list, and plans and sends the orders that are due.
func (mc *machineController) runRound(ctx context.Context) {
	if !mc.holdsRole() {
		return
	}
	machines, ok := mc.listMachines(ctx)
	if !ok {
		return
	}
	servers := make(map[string]string, len(machines))
	for _, m := range machines {
		servers[m.ID] = m.Server
	}
	var orders []upkeep.Action
	var moves []autoscale.Move
	mc.update(func(c *dispatch.Core) {
		orders, moves = mc.upkeepPlanner.UnansweredOrders(boottime.Now(), orderRetryDelay, machines, c), mc.movesToRepeat(c, machines)
		budget := mc.orderBudget() - len(orders) - len(moves)
		c.SetUpkeepDue(mc.upkeepPlanner.DueServers(machines))
		mc.upkeepPlanner.SetEvacuated(c.Evacuated)
		planned := mc.planMoves(c, machines, servers, moveBudget(budget, mc.upkeepPlanner.HasOpenWaves()))
		moves = append(moves, planned...)
		orders = append(orders, mc.planUpkeep(c, machines, budget-len(planned))...)
	})
	mc.sendMachineOrders(ctx, moves, orders, servers)
	mc.reportUse()
}

// movesToRepeat returns the moves without an answer that may be sent again now. Those that the list shows as done are forgotten, as are those of machines that
// have got a long-running task since.
func (mc *machineController) movesToRepeat(c *dispatch.Core, machines []jobs.Machine) []autoscale.Move {
	var moves []autoscale.Move
	listed := make(map[string]jobs.Machine, len(machines))
	for _, m := range machines {
		listed[m.ID] = m
	}
	for id, move := range mc.unansweredMoves {
		m, present := listed[id]
		switch {
		case !present, m.Pool == move.To && m.Up:
			delete(mc.unansweredMoves, id)
		case m.Up && c.LongRunningTaskCount(m.Server) > 0:
			delete(mc.unansweredMoves, id)
			mc.autoscaler.Forget(id)
			c.Cordon(m.Server, false)
		default:
			c.MarkTerminating(m.Server)
			if c.MayMove(m.Server) {
				moves = append(moves, move)
			}
		}
	}
	return moves
}

// permits reports whether the core, at the current time, permits an order that was decided before.
func (d *dispatcher) permits(permission func(c *dispatch.Core) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.advanceClock()
	return permission(d.core)
}

// reportUse tells operators how the machines of the pools spend their time.
func (mc *machineController) reportUse() {
	now := boottime.Now()
	if now-mc.useLoggedAt < stateLogInterval {
		return
	}
	mc.useLoggedAt = now
	use := mc.usage.Take()
	for _, service := range slices.Sorted(maps.Keys(use)) {
		u := use[service]
		mc.node.metrics.addPoolUse(service, u)
		events.Log(mc.log, events.PoolUse, service, u[autoscale.Working].Seconds(), u[autoscale.LongRunning].Seconds(), u[autoscale.Idle].Seconds(), u[autoscale.Away].Seconds())
	}
}

// sendMachineOrders sends moves and upkeep orders, once the ledger shows that this dispatcher orders those machines. Whether an order may end what runs on its
// machine is asked again when it is sent, since storing the record takes a while.
func (mc *machineController) sendMachineOrders(ctx context.Context, moves []autoscale.Move, orders []upkeep.Action, servers map[string]string) {
	if len(moves)+len(orders) == 0 {
		return
	}
	startedAt := boottime.Now()
	announced := mc.announce(moves, orders)
	// Without a limit on concurrent orders, one that waited for a free connection could go out when a successor may already have ordered the
	// machine.
	slots := make(chan struct{}, platform.MaxMachineOrders)
	allowed := func(machine string, permission func(c *dispatch.Core) bool) bool {
		return announced[machine] && boottime.Now()-startedAt < handoverMargin && mc.holdsRole() && mc.permits(permission)
	}
	var wg sync.WaitGroup
	run := func(call func()) {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			call()
		})
	}
	for _, m := range moves {
		server := servers[m.Machine]
		run(func() {
			mc.orderMove(ctx, m, server, allowed(m.Machine, func(c *dispatch.Core) bool { return c.MayMove(server) }))
		})
	}
	for _, a := range orders {
		run(func() {
			mc.orderUpkeep(ctx, a, allowed(a.Machine, func(c *dispatch.Core) bool { return c.MayTerminate(a.Server) }))
		})
	}
	wg.Wait()
}

// moveOrderShare is the share of the orders that moves may use while a wave is open. During a demand peak more moves are wanted than the platform
// accepts, and without this limit the wave would wait until the peak is over.
const moveOrderShare = 0.65

// moveBudget returns how many of a round's orders moves may use.
func moveBudget(budget int, waveOpen bool) int {
	if !waveOpen {
		return budget
	}
	return int(math.Ceil(moveOrderShare * float64(budget)))
}

// orderBudget returns how many orders the platform accepts in this round.
func (mc *machineController) orderBudget() int {
	now := boottime.Now()
	rate := mc.node.settings.MachineOrderRate * orderRateShare
	mc.tokens = min(mc.tokens+rate*(now-mc.tokensAt).Seconds(), rate*orderBurst.Seconds())
	mc.tokensAt = now
	return int(mc.tokens)
}

// planUpkeep cordons servers and returns the upkeep orders to send now.
func (mc *machineController) planUpkeep(c *dispatch.Core, machines []jobs.Machine, limit int) []upkeep.Action {
	var orders []upkeep.Action
	for _, a := range mc.upkeepPlanner.Plan(boottime.Now(), machines, c, limit) {
		if a.Cordon {
			c.Cordon(a.Server, true)
			continue
		}
		orders = append(orders, a)
	}
	return orders
}

// awaitingFirstDemand reports whether this dispatcher is new and has seen no demand yet, or saw its first demand only a moment ago. Pools then stay
// as operators laid them out, so that the first peak finds more than the minimum number of machines.
func (mc *machineController) awaitingFirstDemand() bool {
	mc.follower.mu.Lock()
	defer mc.follower.mu.Unlock()
	if mc.follower.history.Empty() {
		return boottime.Now()-mc.acquiredAt < firstDemandTimeout
	}
	return mc.follower.history.Age(time.Now().UnixMilli()) < parkingDelay.Milliseconds()
}

// planMoves returns the moves to order now.
func (mc *machineController) planMoves(c *dispatch.Core, machines []jobs.Machine, servers map[string]string, limit int) []autoscale.Move {
	mc.autoscaler.SetParking(!mc.awaitingFirstDemand())
	pools, candidates := mc.poolStates(c), mc.moveCandidates(c, machines)
	mc.usage.Observe(boottime.Now(), pools, candidates)
	moves := mc.autoscaler.Plan(boottime.Now(), pools, candidates)
	released := map[string]bool{}
	for _, machine := range mc.autoscaler.Released() {
		released[servers[machine]] = true
	}
	c.SetReleased(released)
	arriving := map[string]dispatch.ArrivingServers{}
	for pool, a := range mc.autoscaler.Arrivals(boottime.Now()) {
		arriving[pool] = dispatch.ArrivingServers{Count: a.Machines, ArrivingIn: a.ArrivingIn}
	}
	c.SetArrivingServers(arriving)
	for i, m := range moves {
		if i >= limit {
			mc.autoscaler.Forget(m.Machine) // it is planned again in the next round
			continue
		}
		c.MarkTerminating(servers[m.Machine])
	}
	return moves[:max(0, min(len(moves), limit))]
}

// forecastDemand returns the next expected peak of each service, and by how much the need of each service rises until more machines can arrive.
func (mc *machineController) forecastDemand(config *jobs.Configuration) (map[string]forecast.Peak, map[string]jobs.Resources) {
	now := time.Now().UnixMilli()
	peaks, rises := map[string]forecast.Peak{}, map[string]jobs.Resources{}
	mc.follower.mu.Lock()
	defer mc.follower.mu.Unlock()
	for _, p := range mc.follower.history.NextPeaks(now) {
		peaks[p.Service] = p
	}
	for name := range config.Services {
		rises[name] = mc.follower.history.ExpectedRise(name, now, autoscale.MoveLatency.Milliseconds())
	}
	return peaks, rises
}

// poolStates returns the pools of the configuration with what their tasks need.
func (mc *machineController) poolStates(c *dispatch.Core) []autoscale.Pool {
	config := mc.operators.view().config
	demands := c.Demands()
	peaks, rises := mc.forecastDemand(config)
	pools := make([]autoscale.Pool, 0, len(config.Services))
	for name, s := range config.Services {
		d := demands[name]
		pool := autoscale.Pool{Name: name, Spare: s.Spare, Need: d.Need, MinMachines: max(d.MinServers, minPoolMachines)}
		pool.Need = pool.Need.Add(rises[name])
		if p, expected := peaks[name]; expected {
			pool.PeakIn, pool.PeakStep = jobs.Milliseconds(p.InMS), jobs.Milliseconds(forecast.BinMS)
			for _, need := range p.Needs {
				pool.PeakNeeds = append(pool.PeakNeeds, d.LongRunning.Add(need))
			}
		}
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b autoscale.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return pools
}

// unreachable reports whether the server of a machine that is up doesn't answer, or isn't listed although the machine has been up for a while.
func (mc *machineController) unreachable(c *dispatch.Core, m jobs.Machine) bool {
	listed, ok := mc.firstListed[m.ID]
	if !ok || listed.server != m.Server {
		listed = listing{m.Server, boottime.Now()}
		mc.firstListed[m.ID] = listed
	}
	known, reachable := c.Reachable(m.Server)
	if known {
		return !reachable
	}
	return boottime.Now()-listed.at > serverListingTimeout
}

// listing records when this dispatcher first saw a machine listed with a server.
type listing struct {
	server string
	at     time.Duration
}

func (mc *machineController) moveCandidates(c *dispatch.Core, machines []jobs.Machine) []autoscale.Machine {
	out := make([]autoscale.Machine, 0, len(machines))
	config, now := mc.operators.view().config, boottime.Now()
	for _, m := range machines {
		empty, idle := c.Idle(m.Server)
		_, unanswered := mc.unansweredMoves[m.ID]
		_, terminating := mc.terminating[m.ID]
		out = append(out, autoscale.Machine{
			ID: m.ID, Pool: m.Pool, Up: m.Up, Capacity: m.Capacity, Empty: empty, IdleFor: idle, Locked: unanswered || terminating || mc.upkeepPlanner.InProgress(m.ID) || !mc.handoverElapsed(m.ID, now),
			Tasks: c.ShortTaskCount(m.Server), LongRunning: c.LongRunningTaskCount(m.Server) > 0, DataCentre: m.DataCentre, Evacuated: c.Evacuated(m.DataCentre), Unreachable: m.Up && !config.Services[m.Pool].Spare && mc.unreachable(c, m),
		})
	}
	return out
}

// orderMove sends a move order if allowed. A move that isn't allowed or is refused is planned again; an unanswered one is repeated, later if it isn't allowed
// now.
func (mc *machineController) orderMove(ctx context.Context, m autoscale.Move, server string, allowed bool) {
	result := platform.OrderRefused
	switch {
	case !allowed && mc.isUnanswered(m.Machine):
		return
	case allowed:
		result = mc.node.machines.Move(ctx, mc.node.settings.Name, mc.role.Epoch, m.Machine, m.To)
	}
	events.Log(mc.log, events.MoveOrdered, m.Machine, server, m.From, m.To, int(result))
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.tokens--
	delete(mc.unansweredMoves, m.Machine)
	switch result {
	case platform.OrderAccepted:
		if server != "" {
			mc.terminating[m.Machine] = termination{server: server}
		}
	case platform.OrderUnknown:
		mc.unansweredMoves[m.Machine] = m
	case platform.OrderFenced:
		mc.fenced = true
	case platform.OrderBusy, platform.OrderRefused, platform.OrderUnavailable:
		mc.autoscaler.Forget(m.Machine)
		mc.update(func(c *dispatch.Core) { c.Cordon(server, false) })
	}
}

// isUnanswered reports whether a move of a machine was sent and has had no answer.
func (mc *machineController) isUnanswered(machine string) bool {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	_, unanswered := mc.unansweredMoves[machine]
	return unanswered
}

// holdsRole reports whether this node is certainly the only dispatcher. Machine orders aren't sent in the order grace after the role lease.
func (d *dispatcher) holdsRole() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return boottime.Now()-d.renewedAt < roleLease
}

// orderUpkeep sends an upkeep order if allowed. One that isn't allowed is decided again, and one that is refused is planned again. An unanswered one is
// repeated, later if it isn't allowed now.
func (mc *machineController) orderUpkeep(ctx context.Context, a upkeep.Action, allowed bool) {
	if !allowed {
		mc.keepFromSending(a)
		return
	}
	result := mc.node.machines.Upkeep(ctx, mc.node.settings.Name, mc.role.Epoch, a.Machine, a.Wave)
	events.Log(mc.log, events.UpkeepOrdered, a.Machine, a.Server, a.Wave, int(result))
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.tokens--
	switch result {
	case platform.OrderAccepted:
		mc.upkeepPlanner.MarkAccepted(a.Wave, a.Machine)
		mc.terminating[a.Machine] = termination{a.Server, true}
		mc.update(func(c *dispatch.Core) {
			c.QueueRecord(ledger.WaveRecord(a.Wave, mc.upkeepPlanner.StartedMachines(a.Wave)))
		})
	case platform.OrderUnknown:
		mc.upkeepPlanner.MarkUnanswered(a.Wave, a.Machine, boottime.Now())
	case platform.OrderFenced:
		mc.fenced = true
	case platform.OrderBusy, platform.OrderRefused, platform.OrderUnavailable:
		mc.upkeepPlanner.MarkRefused(a.Wave, a.Machine, boottime.Now())
		if _, ends := mc.terminating[a.Machine]; !ends && !mc.upkeepPlanner.InProgress(a.Machine) {
			mc.update(func(c *dispatch.Core) { c.Cordon(a.Server, false) })
		}
	}
}

// keepFromSending records that an upkeep order wasn't sent. One that was sent before may have been carried out and stays as it is.
func (mc *machineController) keepFromSending(a upkeep.Action) {
	if a.Repeated {
		return
	}
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.upkeepPlanner.MarkUnsent(a.Wave, a.Machine)
	mc.update(func(c *dispatch.Core) { c.MarkUnsent(a.Server) })
}

// reportWaves tells operators about the progress of the waves.
func (mc *machineController) reportWaves(ctx context.Context) {
	complete := map[int64]bool{}
	for _, n := range mc.upkeepPlanner.CompletedWaves() {
		complete[n] = true
	}
	for _, w := range mc.operators.allWaves() {
		state := jobs.Running
		if complete[w.Number] {
			state = jobs.Complete
		}
		if mc.reportedWaves[w.Number] == state {
			continue
		}
		record := platform.Record{Key: platform.KeyWavePrefix + strconv.FormatInt(w.Number, 10), Value: platform.EncodePhase(state)}
		if _, err := mc.store.Append(ctx, platform.TopicStatus, []platform.Record{record}, nil); err != nil {
			events.Log(mc.log, events.DependencyLost, "status of waves", err)
			continue
		}
		mc.reportedWaves[w.Number] = state
		if complete[w.Number] {
			events.Log(mc.log, events.WaveComplete, w.Number)
		}
	}
}
