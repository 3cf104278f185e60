package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const anyAddress = "127.0.0.1:0"

const upkeepTime = 2 * time.Second // maintenance_s

// machine is a machine of the fleet, as the platform knows it.
type machine struct {
	id, service string
	labels      []string
	phase       string
	worker      *worker
	fence       int64
	lives       int
	waves       map[int64]bool // in which its upkeep has begun
}

// platform plays the list of machines and the orders for them.
type platform struct {
	fleet       *fleet
	mu          sync.Mutex
	all         []*machine
	sameAddress bool // whether a worker that has crashed is back at its address
	reset       bool // calls get no answer and do nothing: the connection is reset
	// unanswered, if set, says whether an order gets no answer. The platform then hands it over, to be carried out later.
	unanswered func(m *machine, wave, fence int64) bool
	// begun is called when an upkeep begins, with the number of machines that are down for theirs already.
	begun func(m *machine, wave int64, down int)
}

// add adds a machine with a worker.
func (p *platform) add(id, service string, labels []string) (*machine, error) {
	m := &machine{id: id, service: service, labels: labels, phase: "up", waves: map[int64]bool{}}
	address, err := p.fleet.freeAddress()
	if err != nil {
		return nil, err
	}
	w, err := p.fleet.startWorker("w-"+id+"-0", id, service, labels, address)
	m.worker = w
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, m)
	return m, err
}

func (p *platform) setReset(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset = on
}

// find returns a machine. The lock must be held.
func (p *platform) find(id string) *machine {
	for _, m := range p.all {
		if m.id == id {
			return m
		}
	}
	return nil
}

// machineOf returns the machine on which a worker is.
func (p *platform) machineOf(w *worker) *machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.find(w.machine)
}

// crash crashes the worker of a machine. It is back after a time, under the same id and on the same machine, as another incarnation.
func (p *platform) crash(m *machine, back time.Duration) {
	p.mu.Lock()
	w := m.worker
	p.mu.Unlock()
	w.crash()
	address := anyAddress
	if p.sameAddress {
		address = w.address
	}
	time.AfterFunc(back, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		next, err := p.fleet.startWorker(w.id, m.id, m.service, m.labels, address)
		if err != nil {
			p.fleet.rec.note("%v", err)
			return
		}
		m.worker = next
		p.fleet.rec.note("worker %s is back", w.id)
	})
}

// begin begins an upkeep. The lock must be held.
func (p *platform) begin(m *machine, wave int64) {
	down := 0
	for _, other := range p.all {
		if other.phase == "upkeep" {
			down++
		}
	}
	p.fleet.rec.note("upkeep of %s begins, %d other machines are down for theirs", m.id, down)
	if p.begun != nil {
		p.begun(m, wave, down)
	}
	m.phase, m.waves[wave] = "upkeep", true
	m.worker.die("upkeep")
	p.fleet.store.write("keyed.servers", m.worker.id, nil)
	time.AfterFunc(upkeepTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		m.lives++
		w, err := p.fleet.startWorker(fmt.Sprintf("w-%s-%d", m.id, m.lives), m.id, m.service, m.labels, anyAddress)
		if err != nil {
			p.fleet.rec.note("%v", err)
			return
		}
		m.worker, m.phase = w, "up"
		p.fleet.rec.note("upkeep of %s is over", m.id)
	})
}

// upkeep carries out an order, and returns its answer. The lock must be held.
func (p *platform) upkeep(m *machine, wave, fence int64) (int, map[string]any) {
	switch {
	case fence < m.fence:
		return http.StatusConflict, map[string]any{"reason": "fence"}
	case !p.fleet.inWave(wave, m.id):
		return http.StatusConflict, map[string]any{"reason": "wave"}
	case m.waves[wave]:
		return http.StatusOK, map[string]any{}
	case m.phase != "up":
		return http.StatusConflict, map[string]any{"reason": "busy"}
	}
	m.fence = fence
	p.begin(m, wave)
	return http.StatusOK, map[string]any{}
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reset {
		if r.Method == http.MethodPost {
			p.fleet.rec.note("platform resets the connection of %s and does nothing", r.URL.Path)
		}
		panic(http.ErrAbortHandler)
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machines":
		p.list(w)
	case "POST /machine-upkeep":
		var body struct {
			Machine string `json:"host_machine"`
			Wave    int64  `json:"wave"`
		}
		err := json.NewDecoder(r.Body).Decode(&body)
		m := p.find(body.Machine)
		if err != nil || m == nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fence, _ := strconv.ParseInt(r.Header.Get("Comfreyrouter-Fencing-Token"), 10, 64) // a missing one counts as 0
		if p.unanswered != nil && p.unanswered(m, body.Wave, fence) {
			panic(http.ErrAbortHandler)
		}
		status, reply := p.upkeep(m, body.Wave, fence)
		p.fleet.rec.note("upkeep of %s ordered by %s with token %d: %d %v", m.id, r.Header.Get("Comfreyrouter-Duty-Holder"), fence, status, reply)
		answer(w, status, reply)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// list answers with all machines. The lock must be held.
func (p *platform) list(w http.ResponseWriter) {
	rows := []map[string]any{}
	for _, m := range p.all {
		row := map[string]any{
			"host_machine": m.id, "pool": m.service, "phase": m.phase, "zone": "z1", "labels": m.labels,
			"room": map[string]int{"cpu": workerCPU, "mem_mb": workerMem}, "id": "",
		}
		if m.phase == "up" {
			row["id"] = m.worker.id
		}
		rows = append(rows, row)
	}
	answer(w, http.StatusOK, map[string]any{"machines": rows})
}

// loseForGood ends the worker of a machine, which is down from then on.
func (p *platform) loseForGood(m *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.worker.crash()
	m.phase = "down"
	p.fleet.rec.note("machine %s is down for good", m.id)
}
