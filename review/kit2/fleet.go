package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"example.org/comfreyrouter/internal/standin/keyedstore"
)

const (
	callTimeout  = 3 * time.Second
	clientTries  = 5 // the first attempt and four retries
	host         = "pule25.example"
	apiKey       = "key-of-the-tenant"
	tenant       = "tenant-1"
	readyTimeout = 15 * time.Second
)

// step is a step of a pipeline, as clients send it.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	Mem          int64  `json:"mem_mb,omitempty"`
	Estimate     int64  `json:"estimate_ms,omitempty"`
	Selector     string `json:"selector,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Lasts        bool   `json:"long_running,omitempty"`
	Misses       int    `json:"tolerable_misses,omitempty"`
}

type job struct {
	id       string
	queue    string
	spec     string
	steps    []step
	accepted time.Time // zero: not accepted
	begun    time.Time // first start of a task; zero: none
}

type node struct {
	name, callers, ready string
	cmd                  *exec.Cmd
}

// overlap is a time in which two runs of one task were at work at once.
type overlap struct {
	task  string
	first string
	at    time.Time
}

// fleet is the platform, the workers, the nodes and the clients of one case.
type fleet struct {
	store   *keyedstore.Store
	folder  string
	began   time.Time
	record  *os.File
	workers []*worker
	nodes   []*node
	cloud   string
	version int   // of the configuration
	limit   int64 // processors that the tenant may have running, in thousandths
	client  *http.Client

	mu       sync.Mutex
	jobs     map[string]*job
	running  map[string]map[string]time.Time // runs at work, by task and then by place and attempt
	overlaps []overlap
	longest  time.Duration // longest overlap
	inUse    int64         // processors of all runs, in thousandths
	most     int64         // the most that were in use at a time
	holds    map[string]time.Time
	stops    []stopped
	lastRun  map[string]time.Time // when a run of a job last began or ended, by job
	done     map[string]bool      // tasks that have ended as done
	ends     []doneEnd
}

// doneEnd is a run that has ended as done.
type doneEnd struct {
	task         string
	attempt      int64
	at           time.Time
	noted        bool // an acknowledgement cursor has reached it
	startedAfter bool // another run of the task began later
}

// stopped is a run that an order has ended.
type stopped struct {
	job    string
	worked time.Duration
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	return l
}

// fail ends the case as one that couldn't run.
func fail(format string, args ...any) {
	fmt.Printf("the case couldn't run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

func newFleet() *fleet {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	record, err := os.Create("record.txt")
	if err != nil {
		fail("%v", err)
	}
	f := &fleet{
		store: keyedstore.New(), folder: folder, began: time.Now(), record: record, jobs: map[string]*job{}, version: 1, limit: 2000000, running: map[string]map[string]time.Time{},
		holds: map[string]time.Time{}, lastRun: map[string]time.Time{}, done: map[string]bool{}, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	current = f
	return f
}

// current is the fleet whose processes have to be ended.
var current *fleet

func cleanUp() {
	if current == nil {
		return
	}
	for _, n := range current.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
	}
	_ = os.RemoveAll(current.folder)
}

func (f *fleet) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(f.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(f.record, line)
}

// started and ended are called by the workers for each run. A worker that is away runs nothing.
func (f *fleet) started(w *worker, r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	place := fmt.Sprintf("%s life %d attempt %d", w.id, w.life, r.attempt)
	f.note("run of %s begins on %s", r.task, place)
	id, _, _ := strings.Cut(r.task, ".")
	f.lastRun[id] = time.Now()
	for i := range f.ends {
		if e := &f.ends[i]; e.task == r.task {
			e.startedAfter = true
			f.note("STARTED AGAIN: attempt %d of %s had ended as done", e.attempt, e.task)
		}
	}
	if j := f.jobs[id]; j != nil && j.begun.IsZero() {
		j.begun = time.Now()
	}
	if f.running[r.task] == nil {
		f.running[r.task] = map[string]time.Time{}
	}
	for other := range f.running[r.task] {
		f.overlaps = append(f.overlaps, overlap{r.task, other, time.Now()})
		f.note("TWO RUNS AT ONCE of %s: %s is at work, and %s begins", r.task, other, place)
	}
	f.running[r.task][place] = time.Now()
	f.inUse += r.cpu
	f.most = max(f.most, f.inUse)
}

func (f *fleet) ended(w *worker, r *run, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	place := fmt.Sprintf("%s life %d attempt %d", w.id, w.life, r.attempt)
	together := len(f.running[r.task]) > 1
	delete(f.running[r.task], place)
	f.inUse -= r.cpu
	id, _, _ := strings.Cut(r.task, ".")
	f.lastRun[id] = time.Now()
	if how == "done" {
		f.done[r.task] = true
		f.ends = append(f.ends, doneEnd{task: r.task, attempt: r.attempt, at: time.Now()})
	}
	if how == "stopped" {
		f.stops = append(f.stops, stopped{id, time.Since(r.began)})
	}
	f.note("run of %s ends on %s: %s after %d ms", r.task, place, how, time.Since(r.began).Milliseconds())
	for _, o := range f.overlaps {
		if together && o.task == r.task {
			f.longest = max(f.longest, time.Since(o.at))
		}
	}
}

// takenNote notes that an acknowledgement cursor has reached the end of a run. It doesn't count if the worker's lease has lapsed since the end.
func (f *fleet) takenNote(task string, attempt int64, lapsedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.ends {
		if e := &f.ends[i]; e.task == task && e.attempt == attempt && lapsedAt.Before(e.at) {
			e.noted = true
			f.note("the end of attempt %d of %s is taken note of", attempt, task)
		}
	}
}

// repeated counts the tasks that started after a run of them had ended as done, where that end was taken note of then or later.
func (f *fleet) repeated() int {
	n := 0
	for _, e := range f.ends {
		if e.noted && e.startedAfter {
			n++
		}
	}
	return n
}

// held notes that a worker has taken a call to /hold.
func (f *fleet) held(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holds[w.id] = time.Now()
}

func (f *fleet) step(task string) step {
	f.mu.Lock()
	defer f.mu.Unlock()
	parts := strings.Split(task, ".")
	j := f.jobs[parts[0]]
	i, _ := strconv.Atoi(parts[2])
	if j == nil || i >= len(j.steps) {
		return step{}
	}
	return j.steps[i]
}

// queue is a route of the configuration.
type queue struct {
	name, prefix, service string
	attempts              int
	slack                 float64
	targetMS              int
}

func (f *fleet) configure(queues []queue) {
	routes, services, seen := []any{}, []any{}, map[string]bool{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": host, "path_prefix": q.prefix, "service": q.service, "priority": 0, "max_attempts": q.attempts, "slack_factor": q.slack,
			"target_latency_ms": q.targetMS, "public": false,
		})
		if !seen[q.service] {
			services = append(services, map[string]any{"name": q.service, "preconditions": true, "standby": false})
		}
		seen[q.service] = true
	}
	value, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": services, "limits": map[string]any{"max_body_bytes": 262144},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{apiKey}, "weight": 100, "cap": map[string]any{"cpu": f.limit, "mem_mb": 8000000, "gpu": 0}}},
	})
	f.store.Put("keyed.op", "config", value)
}

// storeLatency is how long the store takes for an answer, besides the wait for a record that a read asks for.
const storeLatency = 4 * time.Millisecond

// delayed is the store with its latency.
func (f *fleet) delayed() http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		f.store.ServeHTTP(rw, r)
	})
}

// startPlatform serves the store and the list of machines. Nothing here orders a move: each case has one pool.
func (f *fleet) startPlatform() string {
	store, cloud := listen(), listen()
	go func() { _ = http.Serve(store, f.delayed()) }()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(rw http.ResponseWriter, _ *http.Request) {
		rows := []any{}
		for _, w := range f.workers {
			w.mu.Lock()
			phase, id := "up", w.id
			if w.state != isUp && w.state != isCut {
				phase, id = "down", ""
			}
			rows = append(rows, map[string]any{
				"host_machine": w.machine, "pool": w.service, "phase": phase, "zone": "vasteras", "labels": []string{w.kind, w.rack}, "id": id,
				"room": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem},
			})
			w.mu.Unlock()
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows, "next_token": ""})
	})
	mux.HandleFunc("POST /", func(rw http.ResponseWriter, r *http.Request) {
		f.note("platform: %s is refused", r.URL.Path)
		rw.WriteHeader(http.StatusBadRequest)
	})
	go func() { _ = http.Serve(cloud, mux) }()
	f.cloud = cloud.Addr().String()
	return store.Addr().String()
}

// freePort returns a free address. Its port is below those that outgoing connections take.
func freePort() string {
	for range 1000 {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(10000+rand.IntN(20000)))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	fail("no free port")
	return ""
}

// settings fills in the template of the deploy file as the platform does for a small deployment.
const settings = `name: %q
data_centre: "vasteras"
caller_address: %q
ready_address: %q
peer_address: %q
store_address: %q
machines_address: %q
machine_orders: 64
cores: 0.4
memory_mb: 284
bounds:
  revoke_within: "5000ms"
  lease_most: "10000ms"
  grace: "6s"
  early: "250ms"
  order_turn: "3000ms"
  upkeep: "2s"
`

// startNodes starts the program of the deploy file, once for each entry machine.
func (f *fleet) startNodes(count int, storeAddress string) {
	for i := range count {
		n := &node{name: "edge-vasteras-" + strconv.Itoa(i+1), callers: freePort(), ready: freePort()}
		path := filepath.Join(f.folder, n.name+".yaml")
		text := fmt.Sprintf(settings, n.name, n.callers, n.ready, freePort(), storeAddress, f.cloud)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			fail("%v", err)
		}
		n.cmd = exec.Command(filepath.Join(root(), "target", "comfreyrouter"), "node")
		n.cmd.Dir = root()
		n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COMFREYROUTER_CONFIG=" + path}
		out, err := os.Create(filepath.Join(f.folder, n.name+".log"))
		if err != nil {
			fail("%v", err)
		}
		n.cmd.Stdout, n.cmd.Stderr = out, out
		if err := n.cmd.Start(); err != nil {
			fail("%v", err)
		}
		f.nodes = append(f.nodes, n)
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range f.nodes {
		for !f.isReady(n) {
			if time.Now().After(deadline) {
				fail("node %s isn't ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.note("%d nodes are ready", count)
}

func (f *fleet) isReady(n *node) bool {
	resp, err := f.client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// keepLogs copies the logs of the nodes beside the record if KEEP_LOGS is set.
func (f *fleet) keepLogs() {
	if os.Getenv("KEEP_LOGS") == "" {
		return
	}
	for _, n := range f.nodes {
		data, err := os.ReadFile(filepath.Join(f.folder, n.name+".log"))
		if err == nil {
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), n.name+".log"), data, 0o600)
		}
	}
}

// killDispatcher kills the node that dispatches, for good.
func (f *fleet) killDispatcher() {
	var d struct {
		Node string `json:"n"`
	}
	_ = json.Unmarshal(f.store.Latest("keyed.jobs", "o"), &d)
	for i, n := range f.nodes {
		if n.name == d.Node {
			f.note("node %s, which dispatches, is killed", n.name)
			_ = n.cmd.Process.Signal(syscall.SIGKILL)
			_ = n.cmd.Wait()
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
	fail("no node dispatches")
}

// call makes a call of a client at a node.
func (f *fleet) call(n *node, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Comfreyrouter-Deadline-Ms", "3000")
	resp, err := f.client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// submit hands a job in at any node, with retries at others.
func (f *fleet) submit(q queue, spec string, steps ...step) *job {
	return f.submitAt(rand.IntN(len(f.nodes)), q, spec, steps...)
}

// submitAt hands a job in at a node, with retries at others.
func (f *fleet) submitAt(first int, q queue, spec string, steps ...step) *job {
	// The last digit is a letter, so that no name of a task in the record looks like an address.
	j := &job{id: fmt.Sprintf("%015xa", rand.Uint64()>>4), queue: q.prefix, spec: spec, steps: steps}
	f.mu.Lock()
	f.jobs[j.id] = j
	f.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"spec": spec, "pipeline": steps})
	for i := range clientTries {
		n := f.nodes[(first+i)%len(f.nodes)]
		status, _, err := f.call(n, http.MethodPost, q.prefix+j.id, body)
		f.note("client: POST of job %s at %s -> %d %v", j.id, n.name, status, errText(err))
		if err == nil && status/100 == 2 {
			j.accepted = time.Now()
			return j
		}
		time.Sleep(200 * time.Millisecond)
	}
	return j
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// phase asks a node for the state of a job.
func (f *fleet) phase(j *job) string {
	n := f.nodes[rand.IntN(len(f.nodes))]
	status, data, err := f.call(n, http.MethodGet, j.queue+j.id, nil)
	var body struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(data, &body)
	f.note("client: GET of job %s at %s -> %d %q %v", j.id, n.name, status, body.Phase, errText(err))
	return body.Phase
}

// await asks for a job's state until it has ended or the time is over, and returns the last state.
func (f *fleet) await(j *job, timeout time.Duration) string {
	phase := ""
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if phase = f.phase(j); phase == "complete" || phase == "failed" || phase == "cancelled" {
			return phase
		}
	}
	return phase
}

// workerOf waits for a run of a task with a higher attempt than the given one, and returns its worker and attempt. The worker is nil if there is none in time.
func (f *fleet) workerOf(task string, above int64, timeout time.Duration) (*worker, int64) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, w := range f.workers {
			w.mu.Lock()
			r := w.active[task]
			w.mu.Unlock()
			if r != nil && r.attempt > above {
				return w, r.attempt
			}
		}
	}
	return nil, above
}

// roomFor reports whether the conditions hold under which a waiting task must run: there is room for it twice over, its tenant has under half of its cap, and
// under half of the service's capacity is in use.
func (f *fleet) roomFor(cpu, mem int64) bool {
	f.mu.Lock()
	inUse, limit := f.inUse, f.limit
	f.mu.Unlock()
	places, used, capacity := int64(0), int64(0), int64(0)
	for _, w := range f.workers {
		w.mu.Lock()
		if w.state == isUp {
			freeCPU, freeMem := w.cpu, w.mem
			for _, r := range w.active {
				freeCPU, freeMem = freeCPU-r.cpu, freeMem-r.mem
			}
			places += min(freeCPU/cpu, freeMem/mem)
			used, capacity = used+w.cpu-freeCPU, capacity+w.cpu
		}
		w.mu.Unlock()
	}
	f.note("room for %d tasks of the size; %d of %d thousandths of a core are in use; the tenant has %d of its cap of %d", places, used, capacity, inUse, limit)
	return places >= 2 && 2*used < capacity && 2*inUse < limit
}

// waiting returns the jobs of one task that aren't done and have no run.
func (f *fleet) waiting(jobs []*job) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]bool{}
	for _, j := range jobs {
		task := j.id + ".0.0.0"
		if !f.done[task] && len(f.running[task]) == 0 {
			out[j.id] = true
		}
	}
	f.note("%d jobs aren't done and have nothing running", len(out))
	return out
}

// ranSince reports whether a run of a job has begun or ended since a time.
func (f *fleet) ranSince(id string, since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRun[id].After(since)
}

// begun reports whether a task of a job has ever begun.
func (f *fleet) begun(j *job) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !j.begun.IsZero()
}

// root is the folder of the repository.
func root() string {
	if dir := os.Getenv("REPOSITORY"); dir != "" {
		return dir
	}
	dir, err := filepath.Abs("../..")
	if err != nil {
		fail("%v", err)
	}
	return dir
}
