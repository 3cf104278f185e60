package entry

import (
	"math"
	"time"

	"example.org/comfreyrouter/admission"
	"example.org/comfreyrouter/fairshare"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/routing"
)

// loadLocked returns the load that admission checks for a new call. Run times are zero until a task of the queue and team has run, and
// marked as DeclaredOnly until enough recent ones have.
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
		// Where requests wait, one that will probably miss its deadline would displace one that can meet its own, so the estimate counts
		// instead of the shortest run time.
		load.RunTime = e.runTimes.Estimate(c.req.Queue, c.team, 0)
	}
	return load
}

// startDelayLocked estimates how long a new call waits for its start, from the calls of its team and class that wait ahead of it. Peers do
// not report the classes of their waiting calls, so those are assumed to be in the same proportion as on this VM. Rounding
// favours an early start, because a wrong refusal costs more than a late one.
func (e *Engine) startDelayLocked(c *call, q *fairshare.Queue, now time.Time) time.Duration {
	ahead := q.WaitingOf(c.queue.Class, c.team)
	servers := e.candidatesLocked(c.queue.Pool, now)
	if c.queue.Class == fleet.Urgent {
		servers = append(servers, e.spareServersLocked(c.queue.Pool, now)...)
	}
	slots, free := capacityOf(servers)
	if ahead == 0 || slots == 0 {
		return 0 // without a server no estimate is possible; one may return at any moment
	}
	own, peers := e.demandLocked(c.queue.Pool)
	demand := fairshare.TotalDemand(append(peers, own)...)
	config := e.options.Store.Config()
	teamSlots := fairshare.Divide(slots, sharesOf(config), demand)[c.team]
	waiting := own.Waiting[c.team]
	for _, p := range peers {
		waiting += p.Waiting[c.team]
	}
	limit := config.Teams[c.team].Limit
	return admission.StartDelay(admission.Backlog{
		Ahead:   ahead * waiting / max(1, own.Waiting[c.team]),
		Free:    min(free, limit-e.localRunning[c.queue.Pool][c.team]),
		Slots:   min(int(math.Ceil(teamSlots)), limit),
		RunTime: e.runTimes.Mean(c.req.Queue, c.team, 0),
	})
}

// capacityOf returns the total and the free slots of the servers that are not ejected.
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

// demandLocked returns the running and waiting requests of this VM and of each peer in a pool.
func (e *Engine) demandLocked(pool string) (own fairshare.Demand, peers []fairshare.Demand) {
	own = fairshare.Demand{Running: e.localRunning[pool], Waiting: e.waitingByTeamLocked(pool)}
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
