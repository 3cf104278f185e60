package main

import (
	"errors"
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
	f.link = 10e6 / 8 // link_mbps of most machines of the site
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
	for c := range 4 {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
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

// lostAgain crashes a worker, which is back under its id, and lets it be lost for good some seconds later.
func lostAgain(f *fleet, trouble bool) (string, error) {
	const (
		filler, job, task = "00000000000000d1", "00000000000000d2", "00000000000000d2.0.0.0"
		down              = time.Second             // srv_crash, for_s
		lost              = 5200 * time.Millisecond // how long the loss for good counts as a disruption: srv_crash gone, for_s
		near              = 3 * time.Second         // contact_ms
		calm              = 7 * time.Second         // 3 s, and the 4 s before them
	)
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(12); err != nil {
		return "", err
	}
	m, err := f.platform.add("m-b", service, []string{"b", "r1-9"})
	if err != nil {
		return "", err
	}
	if _, err := f.platform.add("m-c", service, []string{"b", "c", "r1-9"}); err != nil {
		return "", err
	}
	f.platform.sameAddress = true
	if err := f.startNodes(); err != nil {
		return "", err
	}
	// The only other worker with the label is full until the task has begun.
	if err := f.submit(filler, clientKey, taskStep{Count: 1, CPU: 62000, MemMB: 1000, EstimateMS: 3500, Selector: "c", length: 3500 * time.Millisecond}); err != nil {
		return "", err
	}
	if _, err := f.awaitRunning(filler+".0.0.0", 10*time.Second); err != nil {
		return "", err
	}
	if trouble {
		f.platform.crash(m, down)
		time.Sleep(down + 500*time.Millisecond)
	}
	if err := f.submit(job, clientKey, taskStep{Count: 1, CPU: 5400, MemMB: 17000, LongRunning: true, Selector: "b", startup: 500 * time.Millisecond}); err != nil {
		return "", err
	}
	e, err := f.awaitRunning(task, 10*time.Second)
	if err != nil {
		return "", err
	}
	if f.platform.machineOf(e.worker) != m {
		return "", errors.New("the task runs on the other worker")
	}
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		f.platform.loseForGood(m)
	}
	time.Sleep(lost + near + calm + 200*time.Millisecond)
	broken := f.idleTask(task, lost+near+calm)
	time.Sleep(10 * time.Second)
	return broken, nil
}

// idleTask returns how the rule is broken if a task that lasts doesn't run, and hasn't for some time.
func (f *fleet) idleTask(task string, most time.Duration) string {
	e, _ := f.current(task)
	idle := f.rec.now() - e.at
	if e.how == "" || idle < most {
		return ""
	}
	status, phase := f.phase(f.nodes[0], jobOf(task), clientKey)
	f.rec.note("client: GET %s: %d %s", jobOf(task), status, phase)
	return fmt.Sprintf("LOST: %s has nothing running for %v, beside an empty worker on which it may run", task, idle.Round(time.Millisecond))
}

// lateStart crashes the workers of both tasks of a step, and has some orders to workers carried out late while the tasks are started again.
func lateStart(f *fleet, trouble bool) (string, error) {
	const (
		job, first, second = "00000000000000a1", "00000000000000a1.0.0.0", "00000000000000a1.0.0.1"
		notice             = 4500 * time.Millisecond // notice_ms
		down               = 4500 * time.Millisecond // srv_crash, for_s
		lateFor            = 5500 * time.Millisecond // applied_late, for_s
		soonest            = 2 * time.Second         // applied_late: 2 to 12 s later
		latest             = 12 * time.Second
	)
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(15); err != nil {
		return "", err
	}
	if err := f.startNodes(); err != nil {
		return "", err
	}
	if err := f.submit(job, clientKey, taskStep{Count: 2, CPU: 5400, MemMB: 17000, LongRunning: true, Apart: 1, Misses: 1, startup: 500 * time.Millisecond}); err != nil {
		return "", err
	}
	var on [2]*machine
	for i, task := range []string{first, second} {
		e, err := f.awaitRunning(task, 10*time.Second)
		if err != nil {
			return "", err
		}
		on[i] = f.platform.machineOf(e.worker)
	}

	// Other clients' jobs go on meanwhile.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		step := taskStep{Count: 2, CPU: 500, MemMB: 500, EstimateMS: 300, length: 300 * time.Millisecond}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(200 * time.Millisecond):
			}
			id := fmt.Sprintf("%016x", 0xb000+i)
			f.define(id, step)
			call(f.nodes[i%len(f.nodes)], http.MethodPost, prefix+id, clientKey, map[string]any{"spec": "spec of " + id, "pipeline": []taskStep{step}})
		}
	})
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	var begun time.Time
	orders, unanswered, soon := 0, 0, false
	f.mu.Lock()
	f.late = func(w *worker, path string, o order) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		isStart, isStop, ours := path == "/run-start", path == "/run-stop", jobOf(o.Task) == job
		if !isStart && !isStop || begun.IsZero() && !(isStart && ours) {
			return 0
		}
		if begun.IsZero() {
			begun = time.Now()
		}
		if time.Since(begun) > lateFor {
			return 0
		}
		orders++
		var late time.Duration
		switch {
		case !ours:
		case isStart && o.Task == first && !soon:
			late, soon = soonest, true
		case isStart:
			late = latest
		case o.Task == first:
			if e, _ := f.current(first); e.how == "" && e.run.percent(time.Now()) >= 100 {
				break
			}
			late = latest
		}
		if late > 0 {
			unanswered++
			f.rec.note("worker %s gives no answer to %s %s run %d", w.id, path, o.Task, o.Attempt)
		}
		return late
	}
	if !trouble {
		f.late = nil
	}
	f.mu.Unlock()
	if trouble {
		for _, m := range on {
			f.platform.crash(m, down)
		}
	}
	time.Sleep(22 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	f.rec.note("of %d starts and stops within %v, %d were carried out late", orders, lateFor, unanswered)
	tooMany := 2*unanswered > orders
	mu.Unlock()
	if tooMany {
		return "", fmt.Errorf("more than half of the orders were carried out late")
	}
	return f.endedAtWork(first, second, notice), nil
}

// endedAtWork returns how the rule is broken if an order has ended a task at work while the other task of its step hadn't been at work for some time.
func (f *fleet) endedAtWork(task, other string, notice time.Duration) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := time.Duration(-1) // the time from which the other task hasn't been at work, -1 if it is
	for _, e := range f.events {
		startedAt := e.run.startedAt.Sub(f.rec.begun)
		switch {
		case e.run.task == other && e.how != "" && e.at-startedAt >= e.run.startup:
			since = e.at
		case e.run.task == other && e.how == "" && f.comesToWork(e.run):
			since = -1
		case e.run.task == task && e.how == "stopped" && e.run.stoppedAt >= 100 && since >= 0 && e.at-since >= notice:
			return fmt.Sprintf("AVAIL: a stop ends %s at work while %s, the other one of its step with tolerable_misses 1, hasn't been at work for %v",
				task, other, (e.at - since).Round(time.Millisecond))
		}
	}
	return ""
}

// comesToWork reports whether a run has come to work. The lock must be held.
func (f *fleet) comesToWork(r *workerRun) bool {
	for _, e := range f.events {
		if e.run == r && e.how != "" {
			return e.at-r.startedAt.Sub(f.rec.begun) >= r.startup
		}
	}
	return time.Since(r.startedAt) >= r.startup
}

// lateAcknowledgement has a worker that has started again carry out a hold that came before, while a later hold gets no answer.
func lateAcknowledgement(f *fleet, trouble bool) (string, error) {
	const (
		before, job, task = "00000000000000b1", "00000000000000b2", "00000000000000b2.0.0.0"
		ends              = 12
		length            = 2 * time.Second
		down              = time.Second             // srv_crash, for_s
		lateFor           = 5500 * time.Millisecond // applied_late, for_s
		soonest, latest   = 2 * time.Second, 12 * time.Second
	)
	f.configure([]string{clientKey}, 0)
	if err := f.addMachines(9); err != nil {
		return "", err
	}
	m, err := f.platform.add("m-b", service, []string{"b", "r1-9"})
	if err != nil {
		return "", err
	}
	f.platform.sameAddress = true
	if err := f.startNodes(); err != nil {
		return "", err
	}
	if err := f.submit(before, clientKey, taskStep{Count: ends, CPU: 2000, MemMB: 1000, EstimateMS: 200, Selector: "b", length: 200 * time.Millisecond}); err != nil {
		return "", err
	}
	for begun := time.Now(); f.notedEnds(before) < ends; time.Sleep(5 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			return "", errors.New("the first job wasn't done in time")
		}
	}
	former := m.worker
	var mu sync.Mutex
	var begun time.Time // of the first hold that gets no answer
	var held order
	holds, unanswered := 0, 0
	carriedOut := false
	reached := make(chan struct{})
	f.mu.Lock()
	f.late = func(w *worker, path string, o order) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if path != "/hold" || !trouble {
			return 0
		}
		if begun.IsZero() {
			if w != former || o.Ack < ends {
				return 0
			}
			begun, held = time.Now(), o
			holds, unanswered = holds+1, unanswered+1
			f.rec.note("worker %s gives no answer to /hold %s", w.id, o)
			close(reached)
			return time.Hour // it is carried out below
		}
		if time.Since(begun) > lateFor {
			return 0
		}
		holds++
		e, known := f.current(task)
		if carriedOut || !known || e.worker != w || length-f.rec.now()+e.run.startedAt.Sub(f.rec.begun) > 300*time.Millisecond {
			return 0
		}
		unanswered++
		f.rec.note("worker %s gives no answer to /hold %s", w.id, o)
		return 2 * soonest
	}
	f.mu.Unlock()
	if trouble {
		select {
		case <-reached:
		case <-time.After(5 * time.Second):
			return "", errors.New("no hold came")
		}
		f.platform.crash(m, down)
		time.Sleep(down)
	}
	if err := f.submit(job, clientKey, taskStep{Count: 1, CPU: 2000, MemMB: 1000, EstimateMS: 2000, Selector: "b", length: length}); err != nil {
		return "", err
	}
	first, err := f.awaitRunning(task, 10*time.Second)
	if err != nil {
		return "", err
	}
	for {
		if e, _ := f.current(task); e.how != "" {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if trouble {
		time.Sleep(20 * time.Millisecond)
		mu.Lock()
		late := time.Since(begun)
		carriedOut = true
		mu.Unlock()
		if late < soonest || late > latest {
			return "", fmt.Errorf("the hold would be carried out %v late", late)
		}
		f.rec.note("worker %s carries out /hold %s, %v late", first.worker.id, held, late.Round(time.Millisecond))
		req, err := http.NewRequest(http.MethodPost, "http://"+first.worker.address+"/hold", http.NoBody)
		if err != nil {
			return "", err
		}
		first.worker.carryOut(unread{}, req, held)
	}
	time.Sleep(8 * time.Second)
	mu.Lock()
	f.rec.note("of %d holds within %v, %d were carried out late", holds, lateFor, unanswered)
	if 2*unanswered > holds {
		err = errors.New("more than half of the holds were carried out late")
	}
	mu.Unlock()
	status, phase := f.phase(f.nodes[0], job, clientKey)
	f.rec.note("client: GET %s: %d %s", job, status, phase)
	return f.startedAfterDone(task), err
}

// startedAfterDone returns how the rule is broken if a task starts after a run of it has ended done and this end was taken note of.
func (f *fleet) startedAfterDone(task string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	done := time.Duration(-1)
	for _, e := range f.events {
		switch {
		case e.run.task != task:
		case e.how == "done" && f.noted[noteKey(task, e.run.attempt)]:
			done = e.at
		case e.how == "" && done >= 0:
			return fmt.Sprintf("TWICE: %s starts again (run %d) %v after a run of it has ended done, an end that was taken note of", task, e.run.attempt, (e.at - done).Round(time.Millisecond))
		}
	}
	return ""
}
