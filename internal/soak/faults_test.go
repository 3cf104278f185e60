package soak

import (
	"sync"
	"syscall"
	"time"
)

// play carries out a plan and returns once all of its events have ended.
func (w *world) play(plan []event, load *load) {
	var wg sync.WaitGroup
	for _, e := range plan {
		time.Sleep(time.Until(load.begun.Add(e.at)))
		wg.Go(func() {
			if !planned[e.kind] {
				w.unplanned.begin()
				defer w.unplanned.end()
			}
			w.note("begins: %v", e)
			w.carryOut(e, load)
			w.note("has ended: %s %d", e.kind, e.target)
		})
	}
	wg.Wait()
}

// carryOut begins an event, waits and ends it.
func (w *world) carryOut(e event, load *load) {
	n, s, zone := w.nodes[e.target%len(w.nodes)], w.servers[e.target%len(w.servers)], zones[e.target%len(zones)]
	switch e.kind {
	case stopNode:
		w.restartNode(n, n.stop, 0)
	case killNode:
		w.restartNode(n, n.kill, e.lasts/2)
	case killDispatcher:
		if d, _ := w.dispatcher(); d != nil {
			w.restartNode(d, d.kill, e.lasts/2)
		}
	case reloadNode:
		n.signal(syscall.SIGHUP)
	case freezeNode:
		n.signal(syscall.SIGSTOP)
		time.Sleep(e.lasts)
		n.signal(syscall.SIGCONT)
	case changeConfig:
		w.configure()
	case cancelJobs:
		load.cancelSome(e.target)
	case submitLongRunning:
		load.submitLongRunning(e.target)
	case cutZone:
		w.changeZoneCuts(zone, 1)
		time.Sleep(e.lasts)
		w.changeZoneCuts(zone, -1)
	case cutDispatcher:
		if d, _ := w.dispatcher(); d != nil {
			w.changeZoneCuts(d.zone, 1)
			time.Sleep(e.lasts)
			w.changeZoneCuts(d.zone, -1)
		}
	case cutNode:
		n.cuts.Add(1)
		time.Sleep(e.lasts)
		n.cuts.Add(-1)
	case rejectNode:
		n.rejections.Add(1)
		time.Sleep(e.lasts)
		n.rejections.Add(-1)
	case cutServer:
		s.changeCuts(1)
		time.Sleep(e.lasts)
		s.changeCuts(-1)
	case restartServer:
		w.restartServer(s, e.lasts)
	case powerCycleServer, darkenServer:
		s.mu.Lock()
		up := s.up
		s.mu.Unlock()
		if up {
			s.losePower()
			time.Sleep(e.lasts)
			s.regainPower()
		}
	case loseServer:
		s.mu.Lock()
		s.lost = true
		s.mu.Unlock()
		s.crash()
	case storeDown:
		w.storeDown.Add(1)
		time.Sleep(e.lasts)
		w.storeDown.Add(-1)
	case loseAnswers:
		w.loseOdds.Store(5)
		time.Sleep(e.lasts)
		w.loseOdds.Store(0)
	case requestWave:
		w.requestWave(e.target)
	case submitService:
		load.submitService(e.target)
	case resetOrders:
		w.setOrderFault(ordersReset)
		time.Sleep(e.lasts)
		w.setOrderFault(ordersAnswered)
	case delayOrders:
		w.setOrderFault(ordersLate)
		time.Sleep(e.lasts)
		w.setOrderFault(ordersAnswered)
	case killAfterOrder:
		w.setOrderFault(ordersLate)
		w.awaitLateOrder(e.lasts)
		if d, _ := w.dispatcher(); d != nil {
			w.restartNode(d, d.kill, 0)
		}
		w.setOrderFault(ordersAnswered)
	case truncateHistory:
		w.store.TruncateHistory(ledgerTopic)
	}
}

// restartNode ends the process of a node and starts another one after a while. Events for one node follow each other.
func (w *world) restartNode(n *node, end func(), down time.Duration) {
	n.busy.Lock()
	defer n.busy.Unlock()
	end()
	time.Sleep(down)
	if err := n.start(); err != nil {
		w.violation("FAULT %s doesn't start: %v", n.name, err)
	}
}

// restartServer ends a server, which comes back under its id.
func (w *world) restartServer(s *server, down time.Duration) {
	s.mu.Lock()
	restarts := s.up
	s.mu.Unlock()
	if !restarts {
		return
	}
	s.crash()
	time.Sleep(down)
	s.mu.Lock()
	lost := s.lost || s.up
	s.mu.Unlock()
	if lost {
		return
	}
	if err := s.boot(); err != nil {
		w.violation("FAULT stand-in %s doesn't start: %v", s.id, err)
	}
}

func (s *server) changeCuts(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts += by
}
