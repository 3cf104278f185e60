package dispatch

import "slices"

// listServers updates the platform's server list and passes it to the dispatcher. The entry of a server that is cut off or has been lost stays for a
// while.
func (sim *simulation) listServers() {
	for id, s := range sim.servers {
		switch {
		case !s.up:
			sim.entries[id] = listEntry{} // it has left
		case !s.cutOff && sim.now >= s.listedFrom:
			sim.entries[id] = listEntry{s.info, sim.now}
		}
	}
	for _, id := range sortedKeys(sim.entries) {
		if e := sim.entries[id]; sim.now-e.writtenAt < entryTTL {
			sim.core.ServerListed(e.info)
			continue
		}
		delete(sim.entries, id)
		sim.core.ServerUnlisted(id)
	}
}

// cutOffDispatcher separates the dispatcher and some servers from the store and from the other servers. The dispatcher goes on giving orders to the
// servers on its side for a while; another one takes over at once.
func (sim *simulation) cutOffDispatcher(servers ...*fakeServer) {
	for _, s := range sim.servers {
		s.behindCut = false
	}
	for _, s := range servers {
		s.cutOff, s.behindCut = true, true
	}
	sim.predecessor, sim.predecessorUntil = sim.core, sim.now+testSilence
	sim.takeOver()
}

// stepPredecessor lets the cut-off predecessor renew leases and give orders. It can't store anything.
func (sim *simulation) stepPredecessor() {
	p := sim.predecessor
	if p == nil || sim.now >= sim.predecessorUntil {
		sim.predecessor = nil
		return
	}
	p.Advance(sim.now, sim.wall(), false)
	for _, id := range slices.Sorted(slices.Values(p.Servers())) {
		r, _ := p.NextRenewal(id)
		switch s := sim.servers[id]; {
		case s == nil || !s.up || !s.behindCut:
			p.RenewalUnanswered(id, sim.now-tick, tick)
		case s.info.BornMS != r.Server.BornMS:
			p.RenewalAnswered(r)
			p.ServerRestarted(r.Server, s.info.BornMS)
		default:
			sim.answerRenewal(p, s, r)
		}
	}
	p.Schedule()
	sim.send(p)
}
