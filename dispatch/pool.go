package dispatch

import (
	"cmp"
	"slices"
	"sort"

	"example.org/comfreyrouter/jobs"
	"example.org/comfreyrouter/waitorder"
)

// serverPool holds the schedulable servers of a service during a scheduling pass. A pool may have most of a fleet's servers, and a pass may place
// hundreds of tasks, so a task must not be compared with each server.
type serverPool struct {
	servers    []*server // by their free share, then by id
	freeShares []float64 // of the servers, at the same positions
	// largestCPU is the largest number of processors that a server of the pool has, in thousandths.
	largestCPU int64
	// capacityCPU and usedCPU are the processors of all servers, in thousandths, and usedLateCPU are those of runs whose jobs were late when they started.
	capacityCPU, usedCPU, usedLateCPU int64
	// tooLarge holds allocations that fit on no server of the pool. During a pass tasks only start, so neither does a larger one.
	tooLarge []jobs.Resources
	examined int // number of servers that tasks were compared with
}

// maxTooLarge bounds serverPool.tooLarge. A few entries cover most sizes, because an entry also stands for all larger ones.
const maxTooLarge = 16

// serverPools returns the schedulable servers of each service that has waiting jobs.
func (c *Core) serverPools(waiting map[string][]*job) map[string]*serverPool {
	pools := map[string]*serverPool{}
	if c.evacuation.held {
		return pools
	}
	for _, s := range c.servers {
		service := s.info.Service
		if len(waiting[service]) == 0 || !c.schedulable(s) {
			continue
		}
		if pools[service] == nil {
			pools[service] = &serverPool{}
		}
		pools[service].add(s)
	}
	for _, p := range pools {
		p.sort()
	}
	return pools
}

func (p *serverPool) add(s *server) {
	p.servers = append(p.servers, s)
	p.largestCPU = max(p.largestCPU, s.info.Capacity.CPU)
	p.capacityCPU += s.info.Capacity.CPU
	p.usedCPU += s.used.CPU
	p.usedLateCPU += s.usedLateCPU
}

// sort brings the servers into their order. It must be called after servers were added or their usage has changed.
func (p *serverPool) sort() {
	p.freeShares = p.freeShares[:0]
	p.usedCPU, p.usedLateCPU = 0, 0
	for _, s := range p.servers {
		p.freeShares = append(p.freeShares, freeShare(s, s.info.Capacity.Sub(s.used)))
		p.usedCPU += s.used.CPU
		p.usedLateCPU += s.usedLateCPU
	}
	sort.Sort(p)
}

// Len, Less and Swap implement sort.Interface.
func (p *serverPool) Len() int { return len(p.servers) }

// Less reports whether the server at position i precedes the one at position j.
func (p *serverPool) Less(i, j int) bool { return p.compare(i, j) < 0 }

// Swap exchanges two servers.
func (p *serverPool) Swap(i, j int) {
	p.servers[i], p.servers[j] = p.servers[j], p.servers[i]
	p.freeShares[i], p.freeShares[j] = p.freeShares[j], p.freeShares[i]
}

func (p *serverPool) compare(i, j int) int {
	return cmp.Or(cmp.Compare(p.freeShares[i], p.freeShares[j]), cmp.Compare(p.servers[i].info.ID, p.servers[j].info.ID))
}

// freeShare returns the share of a server's processors that is free.
func freeShare(s *server, free jobs.Resources) float64 {
	if s.info.Capacity.CPU <= 0 {
		return 0
	}
	return float64(free.CPU) / float64(s.info.Capacity.CPU)
}

// firstWithFree returns the position of the first server that may have the given free processors, in thousandths. None before it has.
func (p *serverPool) firstWithFree(cpu int64) int {
	if p.largestCPU <= 0 {
		return 0
	}
	least := float64(cpu) / float64(p.largestCPU)
	return sort.SearchFloat64s(p.freeShares, least)
}

// fitsNowhere reports whether an allocation is known to fit on no server.
func (p *serverPool) fitsNowhere(allocation jobs.Resources) bool {
	return slices.ContainsFunc(p.tooLarge, func(r jobs.Resources) bool { return r.Fits(allocation) })
}

// recordTooLarge records that an allocation fits on no server.
func (p *serverPool) recordTooLarge(allocation jobs.Resources) {
	p.tooLarge = slices.DeleteFunc(p.tooLarge, func(r jobs.Resources) bool { return allocation.Fits(r) })
	if len(p.tooLarge) < maxTooLarge {
		p.tooLarge = append(p.tooLarge, allocation)
	}
}

// taskStarted restores the order after a task has started on the server at a position.
func (p *serverPool) taskStarted(i int, allocation jobs.Resources, late bool) {
	p.usedCPU += allocation.CPU
	if late {
		p.usedLateCPU += allocation.CPU
	}
	p.freeShares[i] = freeShare(p.servers[i], p.servers[i].info.Capacity.Sub(p.servers[i].used))
	for ; i > 0 && p.compare(i, i-1) < 0; i-- {
		p.Swap(i, i-1)
	}
}

// room returns the pool's use as of now.
func (p *serverPool) room() waitorder.Room {
	return waitorder.Room{Capacity: p.capacityCPU, Used: p.usedCPU, UsedLate: p.usedLateCPU}
}
