package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// addMachines adds machines with a worker each.
func (f *fleet) addMachines(count int) error {
	for i := range count {
		if _, err := f.platform.add(fmt.Sprintf("m-%02d", i), service, []string{"a", fmt.Sprintf("r1-%d", i/4)}); err != nil {
			return err
		}
	}
	return nil
}

// withdrawnKey withdraws a key while the store rejects a node, and has clients use it at that node when the store serves it again.
func withdrawnKey(f *fleet, trouble bool) (string, error) {
	const (
		routes       = 1400                   // big_config, count
		rejected     = 9 * time.Second        // platform_down nodes, for_s
		stormFor     = 3 * time.Second        // config_storm, for_s (4 at most)
		stormGap     = 330 * time.Millisecond // config_storm, gap_s
		revokeWithin = 5 * time.Second        // revoke_ms
	)
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(9); err != nil {
		return "", err
	}
	if err := f.startNodes(); err != nil {
		return "", err
	}
	step := taskStep{Count: 1, CPU: 2000, MemMB: 1000, EstimateMS: 500, length: 500 * time.Millisecond}
	if err := f.submit("00000000000000a0", clientKey, step); err != nil {
		return "", err
	}
	f.configure([]string{clientKey}, routes)
	time.Sleep(3 * time.Second)
	n := f.nodes[0]
	if n == f.dispatcher() {
		n = f.nodes[1]
	}
	begun := time.Now()
	if trouble {
		n.door.setShut(true)
		f.rec.note("the store rejects %s and serves the others", n.name)
	}
	for time.Since(begun) < stormFor {
		time.Sleep(stormGap)
		f.configure([]string{clientKey}, routes)
	}
	f.configure(nil, routes)
	withdrawn := time.Now()

	// Clients go on with the key that was taken away, each on its connection.
	var mu sync.Mutex
	counts, ran := map[string]int{}, map[string]bool{}
	broken := ""
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 20 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id, method := "00000000000000a0", http.MethodGet
				var body any
				if i%2 == 1 {
					id, method = fmt.Sprintf("%08x%08x", 0xb0+c, i), http.MethodPost
					f.define(id, step)
					body = map[string]any{"spec": "spec of " + id, "pipeline": []taskStep{step}}
				}
				sent := time.Now()
				status, _ := call(n, method, prefix+id, clientKey, body)
				late := sent.Sub(withdrawn) - revokeWithin
				mu.Lock()
				counts[fmt.Sprintf("%s %d", method, status)]++
				if late > 0 && status == http.StatusOK {
					f.rec.note("client: %s %s with the withdrawn key at %s, sent %v after revoke_ms: %d", method, id, n.name, late.Round(time.Millisecond), status)
					ran[id] = true
					if broken == "" {
						broken = fmt.Sprintf("CONFIG: %s with a key that was withdrawn %v before was answered with success", method, sent.Sub(withdrawn).Round(time.Millisecond))
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(begun.Add(rejected)))
	if wait := time.Until(withdrawn.Add(revokeWithin + 20*time.Millisecond)); wait > 0 {
		return "", fmt.Errorf("the outage would end %v before revoke_ms has passed", wait)
	}
	n.door.setShut(false)
	f.rec.note("the store serves %s again, %v after the key was withdrawn", n.name, time.Since(withdrawn).Round(time.Millisecond))
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	f.rec.note("answers to the withdrawn key at %s since it was withdrawn: %v", n.name, counts)
	started := 0
	for id := range ran {
		if id != "00000000000000a0" {
			started += f.count(id, "")
		}
	}
	f.rec.note("%d tasks of jobs that were accepted with it later than revoke_ms have run", started)
	return broken, nil
}

// lostJob crashes the worker of a task twice.
func lostJob(f *fleet, trouble bool) (string, error) {
	const job, task = "00000000000000c0", "00000000000000c0.0.0.0"
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(9); err != nil {
		return "", err
	}
	if err := f.startNodes(); err != nil {
		return "", err
	}
	if err := f.submit(job, clientKey, taskStep{Count: 1, CPU: 3500, MemMB: 6500, EstimateMS: 2500, length: 2500 * time.Millisecond}); err != nil {
		return "", err
	}
	for range 2 {
		e, err := f.awaitRunning(task, 15*time.Second)
		if err != nil {
			return "", err
		}
		time.Sleep(time.Second)
		if trouble {
			f.platform.crash(f.platform.machineOf(e.worker), time.Second)
			time.Sleep(500 * time.Millisecond)
		}
	}
	for begun := time.Now(); time.Since(begun) < 40*time.Second; time.Sleep(200 * time.Millisecond) {
		n := f.nodes[0]
		status, phase := f.phase(n, job, clientKey)
		f.rec.note("client: GET %s at %s: %d %s", job, n.name, status, phase)
		switch phase {
		case "complete":
			return "", nil
		case "failed", "cancelled":
			if failed := f.count(job, "failed"); failed < 3 {
				return fmt.Sprintf("LOST: the job is shown as %s after %d runs that ended failed, with max_attempts 3", phase, failed), nil
			}
			return "", fmt.Errorf("the job has failed by itself")
		}
	}
	return "", fmt.Errorf("the job hasn't ended")
}

// lastingTask crashes a worker a few times and then leaves all in peace.
func lastingTask(f *fleet, trouble bool) (string, error) {
	const (
		job, task = "00000000000000d0", "00000000000000d0.0.0.0"
		crashes   = 5
		afterRun  = 6 * time.Second
		calmFor   = 7 * time.Second // 3 s, and the 4 s before them
	)
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(9); err != nil {
		return "", err
	}
	if _, err := f.platform.add("m-b", service, []string{"b", "r1-9"}); err != nil {
		return "", err
	}
	if err := f.startNodes(); err != nil {
		return "", err
	}
	if err := f.submit(job, clientKey, taskStep{Count: 1, CPU: 5400, MemMB: 17000, LongRunning: true, Selector: "b", startup: 500 * time.Millisecond}); err != nil {
		return "", err
	}
	e, err := f.awaitRunning(task, 10*time.Second)
	if err != nil {
		return "", err
	}
	if !trouble {
		time.Sleep(30 * time.Second)
		return f.idleTask(task, afterRun), nil
	}
	for range crashes {
		time.Sleep(time.Second)
		f.platform.crash(f.platform.machineOf(e.worker), 700*time.Millisecond)
		crashed := time.Now()
		for {
			if now, _ := f.current(task); now.how == "" && now.at > e.at {
				e = now
				break
			}
			if time.Since(crashed) > 700*time.Millisecond+calmFor && time.Since(crashed) > afterRun+3*time.Second {
				return f.idleTask(task, afterRun), nil
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(12 * time.Second)
	return f.idleTask(task, afterRun), nil
}

// idleTask returns how the rule is broken if a task that lasts doesn't run, and hasn't for longer than it may.
func (f *fleet) idleTask(task string, afterRun time.Duration) string {
	e, _ := f.current(task)
	idle := f.rec.now() - e.at
	if e.how == "" || idle < afterRun+3*time.Second {
		return ""
	}
	status, phase := f.phase(f.nodes[0], jobOf(task), clientKey)
	f.rec.note("client: GET %s: %d %s", jobOf(task), status, phase)
	return fmt.Sprintf("LOST: %s has nothing running for %v, with its worker up, empty and at peace", task, idle.Round(time.Millisecond))
}

// repeatedOrder has the platform reset the order of an upkeep and crashes another worker meanwhile.
func repeatedOrder(f *fleet, trouble bool) (string, error) {
	const (
		job    = "00000000000000e0"
		notice = 4500 * time.Millisecond // notice_ms
		down   = 5 * time.Second         // cloud_down, for_s
	)
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(9); err != nil {
		return "", err
	}
	if err := f.startNodes(); err != nil {
		return "", err
	}
	if err := f.submit(job, clientKey, taskStep{Count: 2, CPU: 5400, MemMB: 17000, LongRunning: true, Apart: 1, Misses: 1, startup: time.Second}); err != nil {
		return "", err
	}
	var on [2]*machine
	for i := range on {
		e, err := f.awaitRunning(fmt.Sprintf("%s.0.0.%d", job, i), 10*time.Second)
		if err != nil {
			return "", err
		}
		on[i] = f.platform.machineOf(e.worker)
	}
	time.Sleep(4 * time.Second)
	p := f.platform
	broken := ""
	p.mu.Lock()
	first := true
	p.unanswered = func(m *machine, _, _ int64) bool {
		if !trouble || !first || m != on[0] {
			return false
		}
		first = false
		p.reset = true
		f.rec.note("platform resets the connections of all calls from now on, and has done nothing on %s", m.id)
		time.AfterFunc(down, func() {
			p.setReset(false)
			f.rec.note("platform answers again")
		})
		time.AfterFunc(300*time.Millisecond, func() { p.crash(on[1], notice) })
		return true
	}
	p.begun = func(m *machine, _ int64, _ int) {
		if m != on[0] {
			return
		}
		task := fmt.Sprintf("%s.0.0.%d", job, 1)
		e, _ := f.current(task)
		atWork := e.how == "" && f.rec.now()-e.at >= time.Second
		f.rec.note("when the upkeep of %s begins, %s is at work: %v", m.id, task, atWork)
		if mine, _ := f.current(job + ".0.0.0"); mine.how != "" || mine.worker.machine != m.id {
			return
		}
		if atWork {
			return
		}
		if lost := f.awaySince(task); f.rec.now()-lost >= notice {
			broken = fmt.Sprintf("AVAIL: an upkeep ends a task at work while the other one of its step, with tolerable_misses 1, hasn't been at work for %v", (f.rec.now() - lost).Round(time.Millisecond))
		}
	}
	p.mu.Unlock()
	f.requestWave(1, []string{on[0].id}, 26, 1)
	time.Sleep(22 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !on[0].waves[1] {
		return "", fmt.Errorf("the upkeep hasn't begun")
	}
	return broken, nil
}

// awaySince returns when the last run of a task that was at work ended.
func (f *fleet) awaySince(task string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.events) - 1; i >= 0; i-- {
		e := f.events[i]
		if e.run.task == task && e.how != "" && e.at-time.Duration(e.run.startedAt.Sub(f.rec.begun)) >= e.run.startup {
			return e.at
		}
	}
	return f.rec.now()
}

// lateOrder has the platform carry out an order of a dispatcher late, and kills that dispatcher.
func lateOrder(f *fleet, trouble bool) (string, error) {
	const (
		soonest = 2 * time.Second // applied_late: 2 to 12 s later
		latest  = 12 * time.Second
	)
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(9); err != nil {
		return "", err
	}
	if err := f.startNodes(); err != nil {
		return "", err
	}
	jobs := []taskStep{{Count: 1, CPU: 40000, MemMB: 6500, EstimateMS: 12000, length: 12 * time.Second}, {Count: 1, CPU: 40000, MemMB: 6500, EstimateMS: 2500, length: 2500 * time.Millisecond}}
	var on [2]*machine
	for i, step := range jobs {
		id := fmt.Sprintf("00000000000000f%d", i)
		if err := f.submit(id, clientKey, step); err != nil {
			return "", err
		}
		e, err := f.awaitRunning(id+".0.0.0", 10*time.Second)
		if err != nil {
			return "", err
		}
		on[i] = f.platform.machineOf(e.worker)
	}
	p := f.platform
	broken := ""
	p.mu.Lock()
	first := true
	p.unanswered = func(m *machine, wave, fence int64) bool {
		if !trouble || !first {
			return false
		}
		first = false
		f.rec.note("the order for %s with token %d gets no answer", m.id, fence)
		go func() {
			f.kill(f.dispatcher())
			f.rec.note("the dispatcher is killed")
		}()
		go func() {
			for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
				p.mu.Lock()
				busy := false
				for _, o := range p.all {
					busy = busy || o != m && o.phase == "upkeep"
				}
				if since := time.Since(begun); since >= soonest && busy || since >= latest {
					status, reply := p.upkeep(m, wave, fence)
					f.rec.note("the order for %s with token %d is carried out %v late: %d %v", m.id, fence, since.Round(time.Millisecond), status, reply)
					p.mu.Unlock()
					return
				}
				p.mu.Unlock()
			}
		}()
		return true
	}
	p.begun = func(m *machine, _ int64, down int) {
		if down >= 1 && broken == "" {
			broken = fmt.Sprintf("LIMIT: the upkeep of %s begins while %d machine of the wave is down for its own, with cap 1", m.id, down)
		}
	}
	p.mu.Unlock()
	f.requestWave(1, []string{on[0].id, on[1].id}, 26, 1)
	time.Sleep(22 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	return broken, nil
}
