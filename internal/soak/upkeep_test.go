package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/comfreyrouter/platform"
)

const (
	// upkeepTime is how long the upkeep of a machine takes, and waveTime how long a wave may take.
	upkeepTime = 2 * time.Second
	waveTime   = 26 * time.Second
	// noticeTime is how long a task may not be at work before it counts as away: notice_ms of the users' sites.
	noticeTime = 4500 * time.Millisecond
	// serviceWarmUp is how long a task of a service takes until it is at work.
	serviceWarmUp = 2 * time.Second
	// A late order is carried out minLateOrder and up to spreadLateOrder more after it has arrived.
	minLateOrder    = 2 * time.Second
	spreadLateOrder = 4 * time.Second
)

// orderFault says what the platform does with orders for machines.
type orderFault int

const (
	ordersAnswered orderFault = iota
	ordersReset               // neither carried out nor answered
	ordersLate                // not answered, and carried out late
)

// upkeeps is the platform's side of the upkeep of machines.
type upkeeps struct {
	mu     sync.Mutex
	fault  orderFault
	late   int           // number of orders that weren't answered and were to be carried out late
	caps   map[int64]int // machines that may be down at once, by wave
	down   map[string]int64
	begun  map[string]map[int64]bool // waves, by machine
	fences map[string]int64          // by machine
	ended  map[string]time.Time      // when an order last ended a task at work
	rng    *rand.Rand
}

func newUpkeeps(seed uint64) *upkeeps {
	return &upkeeps{caps: map[int64]int{}, down: map[string]int64{}, begun: map[string]map[int64]bool{}, fences: map[string]int64{}, ended: map[string]time.Time{}, rng: rand.New(rand.NewPCG(seed, 5))}
}

// warmUp returns how long a long-running task of a step takes until it is at work.
func (s stepSpec) warmUp() time.Duration {
	if s.Misses > 0 {
		return serviceWarmUp
	}
	return warmUp
}

// requestWave asks for the upkeep of half of the machines.
func (w *world) requestWave(n int) {
	u := w.upkeeps
	u.mu.Lock()
	number := int64(len(u.caps) + 1)
	u.caps[number] = 1 + n%2
	var machines []string
	for _, s := range w.servers {
		if u.rng.IntN(2) == 0 {
			machines = append(machines, s.machine)
		}
	}
	data, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration_s": waveTime.Seconds(), "cap": u.caps[number]})
	u.mu.Unlock()
	if err != nil {
		panic(err) // plain values always encode
	}
	w.store.Put(platform.TopicOperators, platform.KeyWavePrefix+strconv.FormatInt(number, 10), data)
}

func (w *world) setOrderFault(fault orderFault) {
	w.upkeeps.mu.Lock()
	defer w.upkeeps.mu.Unlock()
	w.upkeeps.fault = fault
}

// awaitLateOrder waits until an order arrives that is carried out late, for a while at most.
func (w *world) awaitLateOrder(most time.Duration) {
	count := func() int {
		w.upkeeps.mu.Lock()
		defer w.upkeeps.mu.Unlock()
		return w.upkeeps.late
	}
	for before, end := count(), time.Now().Add(most); count() == before && time.Now().Before(end); {
		time.Sleep(serverTick)
	}
}

// handleUpkeep handles an order of the upkeep of a machine.
func (w *world) handleUpkeep(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"host_machine"`
		Wave    int64  `json:"wave"`
	}
	token, err := strconv.ParseInt(r.Header.Get("Comfreyrouter-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	u := w.upkeeps
	u.mu.Lock()
	if u.fault == ordersLate {
		u.late++
	}
	fault, delay := u.fault, minLateOrder+time.Duration(u.rng.Int64N(int64(spreadLateOrder)))
	u.mu.Unlock()
	switch fault {
	case ordersLate:
		go func() {
			if w.sleep(delay) {
				w.beginUpkeep(body.Machine, body.Wave, token, true)
			}
		}()
		w.hang(r)
	case ordersReset:
		panic(http.ErrAbortHandler)
	case ordersAnswered:
	}
	reason := w.beginUpkeep(body.Machine, body.Wave, token, false)
	rw.Header().Set("Content-Type", "application/json")
	if reason != "" {
		rw.WriteHeader(http.StatusConflict)
	}
	_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason}) // fails only if the caller has gone
}

// beginUpkeep carries out an order, checks it against the users' rules, and returns the reason if it is refused.
func (w *world) beginUpkeep(machine string, wave, token int64, late bool) string {
	u := w.upkeeps
	u.mu.Lock()
	defer u.mu.Unlock()
	i := slices.IndexFunc(w.servers, func(s *server) bool { return s.machine == machine })
	if i < 0 || token < u.fences[machine] {
		return "fence"
	}
	u.fences[machine] = token
	if u.begun[machine][wave] {
		return ""
	}
	s := w.servers[i]
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	if !up {
		return "busy"
	}
	down := 0
	for _, other := range u.down {
		if other == wave {
			down++
		}
	}
	if down >= u.caps[wave] {
		w.violation("LIMIT the upkeep of %s begins at %v while %d machines of wave %d are down", machine, time.Since(w.begun), down, wave)
	}
	w.checkInterruptions(s, late)
	if u.begun[machine] == nil {
		u.begun[machine] = map[int64]bool{}
	}
	u.begun[machine][wave], u.down[machine] = true, wave
	w.note("upkeep of %s for wave %d with token %d, late: %v", machine, wave, token, late)
	s.crash()
	go func() {
		if !w.sleep(upkeepTime) {
			return
		}
		u.mu.Lock()
		delete(u.down, machine)
		u.mu.Unlock()
		if err := s.boot(); err != nil {
			w.violation("FAULT stand-in %s doesn't start: %v", s.id, err)
		}
	}()
	return ""
}

// checkInterruptions records a violation for each task at work on a server whose step has used up its tolerable misses, as the server ends by an order that wasn't
// held up. u.mu must be held.
func (w *world) checkInterruptions(s *server, late bool) {
	now, u := time.Now(), w.upkeeps
	spans := w.spansByTask()
	for _, r := range s.copySpans() {
		step, known := w.stepOf(r.task)
		if late || !known || step.Misses == 0 || !r.to.IsZero() || now.Sub(r.from) < step.warmUp() {
			continue
		}
		away := 0
		for _, other := range stepTasks(r.task, step.Count) {
			if other != r.task && isAway(spans[other], step.warmUp(), u.ended[other], now) {
				away++
			}
		}
		if away >= step.Misses {
			w.violation("AVAIL %s is ended on %s at %v while %d others of its step are away", r.task, s.id, now.Sub(w.begun), away)
		}
		u.ended[r.task] = now
	}
}

// isAway reports whether a task is away: ended by an order and not at work since, or not at work for noticeTime. One that was never at work isn't.
func isAway(runs []span, warmUp time.Duration, endedAt, now time.Time) bool {
	var lastAtWork time.Time
	for _, r := range runs {
		until := r.to
		if until.IsZero() {
			until = now
		}
		if until.Sub(r.from) >= warmUp && until.After(lastAtWork) {
			lastAtWork = until
		}
	}
	return !lastAtWork.IsZero() && (!lastAtWork.After(endedAt) || now.Sub(lastAtWork) >= noticeTime)
}

// stepTasks returns the tasks of the step of a task.
func stepTasks(task string, count int) []string {
	step := task[:strings.LastIndex(task, ".")]
	var all []string
	for k := range count {
		all = append(all, fmt.Sprintf("%s.%d", step, k))
	}
	return all
}

// countUpkeeps returns the number of upkeeps that have begun.
func (w *world) countUpkeeps() int {
	w.upkeeps.mu.Lock()
	defer w.upkeeps.mu.Unlock()
	n := 0
	for _, waves := range w.upkeeps.begun {
		n += len(waves)
	}
	return n
}
