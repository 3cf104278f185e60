package entry

import (
	"math"
	"time"

	"example.org/comfreyrouter/admission"
	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/routing"
)

// loadLocked returns the load that a new call meets. Its times count only once a task of the queue and team has run.
func (e *Engine) loadLocked(c *call, now time.Time) admission.Load {
	load := admission.Load{
		WaitingBytes: e.waitingBytes,
		RunTime:      e.runTimes.Shortest(c.req.Queue, c.team, 0),
		DeclaredOnly: !e.runTimes.Learned(c.req.Queue, c.team, now),
	}
	if q := e.queues[c.queue.Pool]; q != nil && q.Len() > 0 {
		load.Waiting = q.Len()
		load.StartDelay = e.startDelayLocked(c, q, now)
	}
	if load.StartDelay > 0 {
		// Where requests wait, one that will probably be late takes the place of one that will not.
		load.RunTime = e.runTimes.Estimate(c.req.Queue, c.team, 0)
	}
	return load
}

// startDelayLocked estimates when a new call starts from what waits before it in its team and class. Peers do not tell the classes of
// their waiting calls, so these count by this VM's proportion. Roundings are towards an early start, because a wrong refusal costs
// more than a late one.
func (e *Engine) startDelayLocked(c *call, q *fairshare.Queue, now time.Time) time.Duration {
	ahead := q.WaitingOf(c.queue.Class, c.team)
	servers := e.candidatesLocked(c.queue.Pool, now)
	if c.queue.Class == fleet.Urgent {
		servers = append(servers, e.lendableLocked(c.queue.Pool, now)...)
	}
	slots, free := capacityOf(servers)
	if ahead == 0 || slots == 0 {
		return 0 // without a server nothing can be said; one may be back at any moment
	}
	own, peers := e.demandLocked(c.queue.Pool)
	demand := fairshare.TotalDemand(append(peers, own)...)
	config := e.options.Store.Config()
	part := fairshare.Divide(slots, sharesOf(config), demand)[c.team]
	waiting := own.Waiting[c.team]
	for _, p := range peers {
		waiting += p.Waiting[c.team]
	}
	limit := config.Teams[c.team].Limit
	return admission.StartDelay(admission.Backlog{
		Ahead:   ahead * waiting / max(1, own.Waiting[c.team]),
		Free:    min(free, limit-e.running[c.queue.Pool][c.team]),
		Slots:   min(int(math.Ceil(part)), limit),
		RunTime: e.runTimes.Mean(c.req.Queue, c.team, 0),
	})
}

// capacityOf returns the slots of the servers that are not left out, and the free ones among them.
func capacityOf(servers []routing.Server) (slots, free int) {
	for _, s := range servers {
		if !s.Ejected {
			slots += s.Slots
			free += max(0, s.Free())
		}
	}
	return slots, free
}

func sharesOf(config *fleet.Config) map[string]int {
	shares := map[string]int{}
	for name, t := range config.Teams {
		shares[name] = t.Share
	}
	return shares
}

// demandLocked returns what this VM and its peers have of a pool.
func (e *Engine) demandLocked(pool string) (own fairshare.Demand, peers []fairshare.Demand) {
	own = fairshare.Demand{Running: e.running[pool], Waiting: e.waitingByTeamLocked(pool)}
	for _, p := range e.peerLoads {
		peers = append(peers, fairshare.Demand{Running: p.Running[pool], Waiting: p.Waiting[pool]})
	}
	return own, peers
}

func (e *Engine) waitingByTeamLocked(pool string) map[string]int {
	waiting := map[string]int{}
	if q := e.queues[pool]; q != nil {
		for _, team := range q.Teams() {
			waiting[team] = q.Waiting(team)
		}
	}
	return waiting
}
