package entry

import (
	"maps"
	"slices"
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/keys"
	"example.org/comfreyrouter/peer"
)

// peerLoadAge is the age up to which a peer's load is used. Servers reject tasks for which they have no slot, so an older load is of
// little use.
const peerLoadAge = 5 * time.Second

// keyView returns the view by which package keys judges how old this VM's state is. It includes every live member of the fold, also those
// that do not respond, because such a member may have read records that others have not.
func (e *Engine) keyView() keys.View {
	o := e.options
	v := keys.View{DataCentre: o.DataCentre, ReadAt: o.LogView.ReadAt(), LogReadable: o.LogView.Readable()}
	answered := map[string]bool{o.Incarnation: true}
	for _, p := range o.Peers.Statuses() {
		answered[p.Incarnation] = true
		v.Peers = append(v.Peers, keys.PeerView{
			DataCentre: p.DataCentre, AskedAt: p.AskedAt, Offset: p.Offset, ReadAge: p.ReadAge,
			LogReadable: p.LogReadable || p.HeardReadable, Gone: p.Gone,
		})
	}
	o.Store.View(func(s *fleet.State) {
		v.Offset = s.Offset
		for _, id := range s.LiveMembers() {
			if !answered[id] {
				v.Peers = append(v.Peers, keys.PeerView{DataCentre: s.Members[id].DataCentre})
			}
		}
	})
	v.DataCentres = entryDataCentres(o.Store.Config())
	return v
}

// entryDataCentres returns the data centres that have declared entry VMs.
func entryDataCentres(config *fleet.Config) []string {
	centres := map[string]bool{}
	for _, vm := range config.EntryVMs {
		centres[vm.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(centres))
}

func freshnessBound(config *fleet.Config) time.Duration {
	return time.Duration(config.Policy.KeyFreshnessMillis) * time.Millisecond
}

// checkFresh returns an error if keys may not be accepted on this VM's view.
func (e *Engine) checkFresh(config *fleet.Config) error {
	if config.Policy.OnStaleView == fleet.ServeWhenStale {
		return nil
	}
	now := time.Now()
	until := e.keyView().FreshUntil(now, freshnessBound(config))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.extendFreshLocked(until)
	return e.checkFreshLocked(config, now)
}

func (e *Engine) extendFreshLocked(until time.Time) {
	if until.After(e.freshUntil) {
		e.freshUntil = until
	}
}

// checkFreshLocked is checkFresh without a new computation of freshUntil.
func (e *Engine) checkFreshLocked(config *fleet.Config, now time.Time) error {
	if config.Policy.OnStaleView == fleet.ServeWhenStale || !now.After(e.freshUntil) {
		return nil
	}
	return errkind.New(errkind.ViewNotFresh, "this VM cannot confirm that the key was not withdrawn in the last %v", freshnessBound(config))
}

// ViewFresh reports whether keys may be accepted on this VM's view.
func (e *Engine) ViewFresh() bool { return e.checkFresh(e.options.Store.Config()) == nil }

// LeaseLeft returns the time until the lease on the VM's grants expires, or 0 if it has expired.
func (e *Engine) LeaseLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, time.Until(e.holder.LeaseEnd()))
}

// Withdraw makes this VM refuse a key immediately, and its peers with their next heartbeats, before the withdrawal is in the log.
func (e *Engine) Withdraw(keyID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.withdrawnKeys[keyID] = true
}

func (e *Engine) isWithdrawn(keyID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.withdrawnKeys[keyID]
}

// keyRefusalLocked returns an error if a waiting call may not start although its key was accepted on arrival: the key was withdrawn since
// then, or this VM's view is too old to rule that out.
func (e *Engine) keyRefusalLocked(c *call, now time.Time) error {
	if c.keyID == "" {
		return nil
	}
	config := e.options.Store.Config()
	if e.withdrawnKeys[c.keyID] || config.Keys[c.keyID].Withdrawn {
		return errkind.New(errkind.KeyWithdrawn, "key %q was withdrawn", c.keyID)
	}
	return e.checkFreshLocked(config, now)
}

// HeartbeatAnswered records that this VM answered a heartbeat of a peer, which restarts the peer's lease.
func (e *Engine) HeartbeatAnswered(from peer.Status) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.watcher.HeartbeatAnswered(from.Incarnation, now)
	bound := freshnessBound(e.options.Store.Config())
	maps.DeleteFunc(e.heartbeats, func(_ string, p keys.PeerView) bool { return now.Sub(p.AskedAt) > bound })
	e.heartbeats[from.Incarnation] = keys.PeerView{AskedAt: now, Offset: from.Offset, ReadAge: from.ReadAge}
}

// tick updates the engine from the peers' statuses and the fold, tracks the leases of the members, and dispatches.
func (e *Engine) tick() {
	now := time.Now()
	statuses := e.options.Peers.Statuses()
	config := e.options.Store.Config()
	bound := freshnessBound(config)
	view := e.keyView()
	since, outage := view.FleetOutageSince(now, bound)
	var members map[string]fleet.Member
	e.options.Store.View(func(s *fleet.State) { members = maps.Clone(s.Members) })
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.refreshLocked() // refreshLoop reports the error
	e.extendFreshLocked(view.FreshUntil(now, bound))
	if outage && e.joined {
		e.holder.RenewedByPeers(since, now)
	}
	e.watcher.Observe(members, e.options.Incarnation, now)
	if askedAt, ok := view.MajorityAskedAt(now); ok {
		e.watcher.MajorityContact(askedAt, now)
	}
	e.updatePeerLoadLocked(statuses, now)
	e.updateSharesLocked(config, now)
	e.mergeWithdrawnLocked(statuses, config)
	e.dispatchAllLocked()
	e.preemptLocked(now)
	e.evictFromLeavingLocked()
}

func (e *Engine) updatePeerLoadLocked(statuses []PeerStatus, now time.Time) {
	e.remoteLoad = map[string]int{}
	e.remoteRunning = map[string]map[string]int{}
	e.peerLoads = e.peerLoads[:0]
	for _, p := range statuses {
		if now.Sub(p.AskedAt) > peerLoadAge {
			continue
		}
		e.peerLoads = append(e.peerLoads, p.Status)
		for server, n := range p.Outstanding {
			e.remoteLoad[server] += n
		}
		for pool, teams := range p.Running {
			if e.remoteRunning[pool] == nil {
				e.remoteRunning[pool] = map[string]int{}
			}
			for team, n := range teams {
				e.remoteRunning[pool][team] += n
			}
		}
	}
}

// mergeWithdrawnLocked adds withdrawals reported by peers and drops those that are in the configuration. A key that this VM does not know is
// refused anyway; adding its id would let VMs pass a mistyped id to each other for ever.
func (e *Engine) mergeWithdrawnLocked(statuses []PeerStatus, config *fleet.Config) {
	for _, p := range statuses {
		for _, id := range p.Withdrawn {
			if _, known := config.Keys[id]; known {
				e.withdrawnKeys[id] = true
			}
		}
	}
	for id := range e.withdrawnKeys {
		if config.Keys[id].Withdrawn {
			delete(e.withdrawnKeys, id)
		}
	}
}

// Status returns this VM's status, which is sent to its peers in heartbeats and in the responses to theirs.
func (e *Engine) Status() peer.Status {
	o := e.options
	now := time.Now()
	st := peer.Status{
		Incarnation: o.Incarnation, VM: o.VM, DataCentre: o.DataCentre, PeerAddress: o.PeerAddress,
		Offset: o.Store.Offset(), LogReadable: o.LogView.Readable(), ReadAge: now.Sub(o.LogView.ReadAt()),
	}
	view := e.keyView()
	e.mu.Lock()
	defer e.mu.Unlock()
	view.Heard = slices.Collect(maps.Values(e.heartbeats))
	st.HeardReadable = view.LogReadableAnywhere(now, freshnessBound(o.Store.Config()))
	e.addLoadLocked(&st)
	st.Withdrawn = slices.Sorted(maps.Keys(e.withdrawnKeys))
	return st
}

// addLoadLocked adds this VM's load to its status.
func (e *Engine) addLoadLocked(st *peer.Status) {
	st.Running, st.Waiting = map[string]map[string]int{}, map[string]map[string]int{}
	for pool, teams := range e.localRunning {
		st.Running[pool] = maps.Clone(teams)
	}
	for pool := range e.queues {
		st.Waiting[pool] = e.waitingByTeamLocked(pool)
	}
	st.Outstanding = maps.Clone(e.localLoad)
}
