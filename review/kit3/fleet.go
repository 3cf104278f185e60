package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	nodeProgram = "target/comfreyrouter"
	nodeCount   = 3
	clientHost  = "pule25.example"
	prefix      = "/puxa400/"
	service     = "butik"
	clientKey   = "key-of-a-shop"
	otherKey    = "key-of-another-shop"
	// answerWithin is how long clients wait for an answer.
	answerWithin = 3 * time.Second
)

// node is a process of the project.
type node struct {
	name    string
	callers string
	ready   string
	door    *door
	cmd     *exec.Cmd
	exited  chan struct{}
}

// taskStep is a step of a job, with what its tasks do.
type taskStep struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"mem_mb"`
	EstimateMS  int64  `json:"estimate_ms,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Selector    string `json:"selector,omitempty"`
	Apart       int    `json:"anti_affinity,omitempty"`
	Misses      int    `json:"tolerable_misses,omitempty"`
	length      time.Duration
	startup     time.Duration
}

// runEvent is a start or an end of a run.
type runEvent struct {
	at     time.Duration
	worker *worker
	run    *workerRun
	how    string // "" for a start
}

// fleet is the nodes with the stand-ins around them.
type fleet struct {
	rec      *record
	dir      string
	store    *store
	platform *platform
	link     float64 // of each node to the store, in bytes per second; 0: as fast as it can
	nodes    []*node
	servers  []*http.Server
	taken    int // ports of the block that were tried

	mu      sync.Mutex
	workers map[string]*worker
	steps   map[string]taskStep // by job; each job has one step
	events  []runEvent
	waves   map[int64][]string
	noted   map[string]bool // ends that an ack_cursor has reached before the lease lapsed, by task and run
	version int64
	late    func(w *worker, path string, o order) time.Duration // if set, how much later an order is carried out, without an answer; 0: at once
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "kit3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: newStore(), workers: map[string]*worker{}, steps: map[string]taskStep{}, waves: map[int64][]string{}, noted: map[string]bool{}}
	f.platform = &platform{fleet: f}
	return f, nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, n := range f.nodes {
		f.kill(n)
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.mu.Lock()
	workers := f.workers
	f.workers = map[string]*worker{}
	f.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		w.dead = true
		w.mu.Unlock()
		_ = w.server.Close()
	}
	_ = os.RemoveAll(f.dir)
}

// serve serves a stand-in and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }() // ends with close
	return l.Addr().String(), nil
}

// The ports of the nodes and of the workers are below those that the system gives to outgoing connections, and each process of this program has a block of
// them, so that nothing takes one between its choice and its use.
const firstPort, blockSize, blocks = 12000, 100, 180

// freeAddress returns an address that is free and that wasn't returned before.
func (f *fleet) freeAddress() (string, error) {
	for f.taken < blockSize {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+os.Getpid()%blocks*blockSize+f.taken)
		f.taken++
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no port is free")
}

// startNodes starts the nodes with settings as the template of the deploy file renders them, and waits until they are ready.
func (f *fleet) startNodes() error {
	machines, err := f.serve(f.platform)
	if err != nil {
		return err
	}
	for i := range nodeCount {
		n := &node{name: fmt.Sprintf("edge-z%d-1", i+1), door: &door{store: f.store, link: f.link}}
		storeAddress, err := f.serve(n.door)
		if err != nil {
			return err
		}
		var free [3]string
		for k := range free {
			if free[k], err = f.freeAddress(); err != nil {
				return err
			}
		}
		n.callers, n.ready = free[0], free[1]
		settings := fmt.Sprintf(`name: %q
data_centre: "z%d"
caller_address: "%s"
ready_address: "%s"
peer_address: "%s"
store_address: "%s"
machines_address: "%s"
machine_orders: 64
cores: 0.4
memory_mb: 284
descriptors: 4100
bounds:
  revoke_within: "5000ms"
  lease_most: "10000ms"
  grace: "6s"
  early: "250ms"
  order_turn: "3000ms"
  upkeep: "2s"
`, n.name, i+1, n.callers, n.ready, free[2], storeAddress, machines)
		if err := os.WriteFile(filepath.Join(f.dir, n.name+".yaml"), []byte(settings), 0o600); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	return f.awaitReady(20 * time.Second)
}

func (f *fleet) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(nodeProgram, "node")
	n.cmd.Env = append(os.Environ(), "COMFREYROUTER_CONFIG="+filepath.Join(f.dir, n.name+".yaml"))
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.exited = make(chan struct{})
	if err := n.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = n.cmd.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	return nil
}

// kill ends the process of a node with SIGKILL.
func (f *fleet) kill(n *node) {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	<-n.exited
}

func (f *fleet) awaitReady(within time.Duration) error {
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			resp, err := http.Get("http://" + n.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.nodes) && f.dispatcher() != nil {
			f.rec.note("%d nodes are ready, %s dispatches", ready, f.dispatcher().name)
			return nil
		}
	}
	for _, n := range f.nodes {
		log, _ := os.ReadFile(filepath.Join(f.dir, n.name+".log")) // without a log there is nothing to note
		f.rec.note("end of the log of %s: %s", n.name, log[max(0, len(log)-2000):])
	}
	return fmt.Errorf("the nodes weren't ready within %v", within)
}

// dispatcher returns the node that dispatches, by the newest record of the role in the store, or nil. Only the choice of the node to disturb depends on it.
func (f *fleet) dispatcher() *node {
	var role struct {
		Node string `json:"n"`
	}
	if json.Unmarshal(f.store.newest("keyed.jobs", "o"), &role) != nil {
		return nil
	}
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == role.Node })
	if i < 0 {
		return nil
	}
	return f.nodes[i]
}

// configure writes a configuration as the operator does. The store's answer is its acknowledgement.
func (f *fleet) configure(keys []string, moreRoutes int) int64 {
	f.mu.Lock()
	f.version += 3
	version := f.version
	f.mu.Unlock()
	routes := []map[string]any{{
		"name": "r-offert", "host": clientHost, "path_prefix": prefix, "service": service, "priority": 0, "max_attempts": 3, "slack_factor": 4.0, "target_latency_ms": 600,
	}}
	for i := range moreRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-more-%04d", i), "host": fmt.Sprintf("h%04d.example", i), "path_prefix": fmt.Sprintf("/more%04d/", i), "service": service,
			"priority": 0, "max_attempts": 3, "slack_factor": 4.0, "target_latency_ms": 600,
		})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": service}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144},
		"tenants": []map[string]any{
			{"name": "shop", "api_keys": keys, "weight": 20.0, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}},
			{"name": "another", "api_keys": []string{otherKey}, "weight": 20.0, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}},
		},
	}
	f.store.write("keyed.op", "config", config)
	f.rec.note("operator: configuration %d with %d routes and keys %s is acknowledged (%d bytes)", version, len(routes), strings.Join(keys, ","), len(f.store.newest("keyed.op", "config")))
	return version
}

// requestWave writes a wave as the operator does.
func (f *fleet) requestWave(number int64, machines []string, seconds float64, most int) {
	f.mu.Lock()
	f.waves[number] = machines
	f.mu.Unlock()
	f.store.write("keyed.op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": machines, "duration_s": seconds, "cap": most})
	f.rec.note("operator: wave %d of %s in %g s, cap %d", number, strings.Join(machines, ","), seconds, most)
}

func (f *fleet) inWave(number int64, machine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.waves[number], machine)
}

func (f *fleet) stepOf(task string) (taskStep, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	step, known := f.steps[jobOf(task)]
	return step, known
}

// lateBy returns how much later a worker carries a call out, without an answer; 0 for at once.
func (f *fleet) lateBy(w *worker, path string, o order) time.Duration {
	f.mu.Lock()
	late := f.late
	f.mu.Unlock()
	if late == nil {
		return 0
	}
	return late(w, path, o)
}

func (f *fleet) runStarted(w *worker, r *workerRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, runEvent{f.rec.now(), w, r, ""})
	f.rec.note("worker %s on %s starts %s run %d", w.id, w.machine, r.task, r.attempt)
}

func (f *fleet) runEnded(w *worker, r *workerRun, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, runEvent{f.rec.now(), w, r, how})
	f.rec.note("worker %s on %s: %s run %d ends: %s", w.id, w.machine, r.task, r.attempt, how)
}

// endNoted records that a worker forgets an end. Its lock must be held.
func (f *fleet) endNoted(w *worker, end []any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	task, attempt := end[1].(string), end[2].(int64)
	f.rec.note("worker %s forgets end %v of %s run %d, with %d ms left of its lease", w.id, end[0], task, attempt, w.leaseEnd-w.clock())
	if w.clock() < w.leaseEnd {
		f.noted[noteKey(task, attempt)] = true
	}
}

func noteKey(task string, attempt int64) string { return fmt.Sprintf("%s/%d", task, attempt) }

// notedEnds returns how many ends of a job were taken note of.
func (f *fleet) notedEnds(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for key := range f.noted {
		if jobOf(key) == job {
			n++
		}
	}
	return n
}

// current returns the last event of a task, or false if there is none.
func (f *fleet) current(task string) (runEvent, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range slices.Backward(f.events) {
		if e.run.task == task {
			return e, true
		}
	}
	return runEvent{}, false
}

// count returns how many runs of a job have ended in a way, or have started for "".
func (f *fleet) count(job, how string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if jobOf(e.run.task) == job && e.how == how {
			n++
		}
	}
	return n
}

// awaitRunning waits until a task runs, and returns its run.
func (f *fleet) awaitRunning(task string, within time.Duration) (runEvent, error) {
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(5 * time.Millisecond) {
		if e, known := f.current(task); known && e.how == "" {
			return e, nil
		}
	}
	return runEvent{}, fmt.Errorf("%s didn't run within %v", task, within)
}

var client = &http.Client{Timeout: answerWithin, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}

// call makes a client's call, and returns the status and the body of the answer; 0 if there is none.
func call(n *node, method, path, key string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // plain values always encode
	}
	req, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = clientHost
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Comfreyrouter-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// define says what the tasks of a job do.
func (f *fleet) define(id string, step taskStep) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps[id] = step
}

// submit hands a job with one step in, again with the same id while there is no success, and returns an error if none of the attempts succeeds.
func (f *fleet) submit(id, key string, step taskStep) error {
	f.define(id, step)
	for i := range 10 {
		n := f.nodes[i%len(f.nodes)]
		status, _ := call(n, http.MethodPost, prefix+id, key, map[string]any{"spec": "spec of " + id, "pipeline": []taskStep{step}})
		f.rec.note("client: POST %s at %s: %d", id, n.name, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s wasn't accepted", id)
}

// phase asks a node for the state of a job, and returns its status and its phase.
func (f *fleet) phase(n *node, id, key string) (int, string) {
	status, body := call(n, http.MethodGet, prefix+id, key, nil)
	var reply struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(body, &reply) // an answer without a phase has none
	return status, reply.Phase
}
