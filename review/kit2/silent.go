package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	contact     = 3 * time.Second // contact_ms
	configApply = 2 * time.Second // config_apply_ms
	// margin is added to the bounds of the check, for the time between a moment and its record.
	margin = 100 * time.Millisecond
)

// silentConnections: the connections of all nodes to the store go silent. A configuration adds a queue a second later.
func silentConnections(f *fleet, trouble bool) verdict {
	f.configure([]queue{butik})
	store := newProxy(f.startPlatform())
	for i := range 4 {
		w := newWorker(f, fmt.Sprintf("i-%d", 100+i), "butik", "a", "r1-0")
		f.workers = append(f.workers, w)
		w.serve()
	}
	f.startNodes(9, store.address())
	time.Sleep(settle)
	// Clients hand in about as many jobs as on the site, and then none for a while: connections that stay idle go silent.
	var clients sync.WaitGroup
	for range 16 {
		clients.Go(func() {
			for range 25 {
				f.submit(butik, "run_ms=300", step{Count: 1, CPU: 500, Mem: 500, Estimate: 300})
				time.Sleep(time.Duration(500+rand.IntN(1000)) * time.Millisecond)
			}
		})
	}
	clients.Wait()
	time.Sleep(2 * time.Second)
	silentAt := time.Now()
	if trouble {
		f.note("%d connections to the store go silent", store.silence())
	}
	time.Sleep(time.Second)
	added := queue{name: "kvitto", prefix: "/kvitto/", service: "butik", attempts: 3, slack: 3, targetMS: 600}
	f.version++
	f.configure([]queue{butik, added})
	ack := time.Now()
	f.note("configuration %d is acknowledged: it adds the queue %s", f.version, added.prefix)
	late, last := 0, time.Duration(0)
	for time.Since(ack) < 8*time.Second {
		for _, n := range f.nodes {
			sent := time.Now()
			status, _, err := f.call(n, http.MethodGet, added.prefix, nil)
			counts := sent.Sub(ack) > configApply+margin && sent.Sub(silentAt) > contact+margin
			f.note("client: GET of the new queue at %s -> %d %v, %d ms after the acknowledgement", n.name, status, errText(err), sent.Sub(ack).Milliseconds())
			if counts && status == http.StatusNotFound {
				late++
				last = max(last, sent.Sub(ack))
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if late > 0 {
		return verdict(fmt.Sprintf("%d calls of a queue were refused with 404, up to %d ms after the acknowledgement of the configuration that added it", late, last.Milliseconds()))
	}
	return ""
}
