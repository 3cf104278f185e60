package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/platform"
)

var (
	zones = []string{"z0", "z1", "z2"}
	racks = []string{"r0", "r1"}
)

const (
	callerHost  = "shop.example"
	queuePrefix = "/q/"
	callerKey   = "key-1"
	grace       = 6 * time.Second  // between SIGTERM and SIGKILL, as on the users' sites
	readyWithin = 60 * time.Second // a busy machine starts many processes slowly
	ledgerTopic = "keyed.jobs"
	roleKey     = "o" // of the record that names the dispatcher
)

// world is a fleet of nodes, each a process of its own, with the stand-ins of its platform.
type world struct {
	dir     string
	seed    uint64
	store   *keyedstore.Store
	nodes   []*node
	servers []*server
	http    []*httptest.Server
	ended   chan struct{}

	storeDown atomic.Int32 // outages that are open
	loseOdds  atomic.Int32 // one of so many calls to the store loses its answer; 0 for none
	unplanned activity     // faults, as opposed to planned work
	usage     usage
	upkeeps   *upkeeps
	late      atomic.Int64 // calls that were carried out late
	mu        sync.Mutex
	zoneCuts  map[string]int
	epochs    map[int64]string // zone of the dispatcher, by epoch
	steps     map[string][]stepSpec
	version   int
	// withdrawnAt is when the key of each version of the configuration was withdrawn, at the latest.
	withdrawnAt map[int]time.Time
	violations  []string
	notes       []string
	begun       time.Time
}

// stepSpec is a step of a job, in the form in which callers submit it.
type stepSpec struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemoryMB     int    `json:"mem_mb"`
	EstimateMS   int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	Selector     string `json:"selector,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	Misses       int    `json:"tolerable_misses,omitempty"`
	runTime      time.Duration
}

// activity remembers when something was going on.
type activity struct {
	mu     sync.Mutex
	open   int
	lastAt time.Time
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open--
	a.lastAt = time.Now()
}

// quietSince reports whether nothing has been going on since a time.
func (a *activity) quietSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.open == 0 && a.lastAt.Before(t)
}

func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// note records an event with its time.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notes = append(w.notes, fmt.Sprintf("%8.3f s  ", time.Since(w.begun).Seconds())+fmt.Sprintf(format, args...))
}

// sleep waits, and reports whether the world still exists.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ended:
		return false
	case <-time.After(d):
		return true
	}
}

// hang leaves a call without an answer until its caller gives up. The body must have been read, or the end of the connection isn't noticed.
func (w *world) hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // it may be broken off
	select {
	case <-r.Context().Done():
	case <-w.ended:
	}
	panic(http.ErrAbortHandler)
}

func (w *world) zoneCut(zone string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.zoneCuts[zone] > 0
}

func (w *world) changeZoneCuts(zone string, by int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zoneCuts[zone] += by
}

// zoneOfEpoch returns the zone of the node that dispatches in an epoch.
func (w *world) zoneOfEpoch(epoch int64) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if zone, known := w.epochs[epoch]; known {
		return zone, true
	}
	n, current := w.dispatcher()
	if n == nil || current != epoch {
		return "", false
	}
	w.epochs[epoch] = n.zone
	return n.zone, true
}

// dispatcher returns the node that holds the dispatcher role, and its epoch. The node is nil if there is none.
func (w *world) dispatcher() (*node, int64) {
	var role struct {
		Epoch int64  `json:"e"`
		Node  string `json:"n"`
	}
	if json.Unmarshal(w.store.Latest(ledgerTopic, roleKey), &role) != nil {
		return nil, 0
	}
	for _, n := range w.nodes {
		if n.name == role.Node {
			return n, role.Epoch
		}
	}
	return nil, 0
}

// setSteps records the steps of a job, by which the servers know the run time of its tasks.
func (w *world) setSteps(id string, steps []stepSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps[id] = steps
}

// stepOf returns the step of a task, whose name has the form ID.OCCURRENCE.STEP.INDEX.
func (w *world) stepOf(task string) (stepSpec, bool) {
	parts := strings.Split(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	steps := w.steps[parts[0]]
	if len(parts) != 4 {
		return stepSpec{}, false
	}
	i, err := strconv.Atoi(parts[2])
	if err != nil || i >= len(steps) {
		return stepSpec{}, false
	}
	return steps[i], true
}

// startWorld starts the platform, the servers and the nodes, and waits until the nodes are ready.
func startWorld(dir string, seed uint64, nodes, servers int) (*world, error) {
	w := &world{
		dir: dir, seed: seed, store: keyedstore.New(), ended: make(chan struct{}), zoneCuts: map[string]int{}, epochs: map[int64]string{}, steps: map[string][]stepSpec{}, withdrawnAt: map[int]time.Time{}, upkeeps: newUpkeeps(seed), begun: time.Now(),
	}
	w.configure()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /machine-upkeep", w.handleUpkeep)
	mux.HandleFunc("GET /", w.listMachines)
	machines := w.serve(mux)
	for i := range servers {
		s := newServer(w, i)
		if err := s.boot(); err != nil {
			return w, err
		}
		w.servers = append(w.servers, s)
		go s.live()
	}
	for i := range nodes {
		n := &node{w: w, name: fmt.Sprintf("n%d", i), zone: zones[i%len(zones)]}
		if err := n.prepare(machines); err != nil {
			return w, err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return w, err
		}
	}
	for _, n := range w.nodes {
		if !n.awaitReady() {
			return w, fmt.Errorf("node %s isn't ready", n.name)
		}
	}
	return w, nil
}

// serve serves a part of the platform until the world ends, and returns its address.
func (w *world) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	w.http = append(w.http, s)
	return s.Listener.Addr().String()
}

// close ends all processes and stand-ins.
func (w *world) close() {
	close(w.ended)
	for _, n := range w.nodes {
		n.kill()
	}
	for _, s := range w.servers {
		s.crash()
		s.door.close()
	}
	for _, s := range w.http {
		s.CloseClientConnections()
		s.Close()
	}
}

// configure publishes the next version of the configuration. Odd versions have a queue more.
func (w *world) configure() {
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	routes := []map[string]any{
		{"name": "q", "host": callerHost, "path_prefix": queuePrefix, "service": "pool", "max_attempts": 3, "slack_factor": 1.6, "target_latency_ms": 600},
	}
	if version%2 == 1 {
		routes = append(routes, map[string]any{"name": "extra", "host": callerHost, "path_prefix": "/extra/", "service": "pool", "max_attempts": 3})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []map[string]any{{"name": "pool", "preconditions": true}},
		"tenants": []map[string]any{{"name": "w", "api_keys": []string{callerKey, versionKey(version)}, "weight": 50}},
		"note":    strings.Repeat("x", pageKB<<10), // a page has one version
	})
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	w.store.Put(platform.TopicOperators, platform.KeyConfiguration, data)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withdrawnAt[version-1] = time.Now()
}

func (w *world) listMachines(rw http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	w.upkeeps.mu.Lock()
	down := maps.Clone(w.upkeeps.down)
	w.upkeeps.mu.Unlock()
	for _, s := range w.servers {
		s.mu.Lock()
		phase := "up"
		if !s.up {
			phase = "down"
		}
		if down[s.machine] != 0 {
			phase = "upkeep"
		}
		if !s.lost {
			rows = append(rows, map[string]any{
				"host_machine": s.machine, "pool": "pool", "phase": phase, "zone": s.zone, "labels": s.labels, "room": map[string]int{"cpu": serverCPU, "mem_mb": serverMB}, "id": s.id,
			})
		}
		s.mu.Unlock()
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows, "next_token": nil}) // fails only if the caller has gone
}

// The nodes and servers listen on ports below the range that the system gives to outgoing connections, so that none is taken while they restart.
const (
	firstPort   = 13000
	portCount   = 18000
	portsPerRun = 3000
)

var portsUsed atomic.Int32

// freeListener listens on a loopback port that this process hasn't used before.
func freeListener() (net.Listener, error) {
	first := os.Getpid() % (portCount / portsPerRun) * portsPerRun
	for range portsPerRun {
		port := firstPort + (first+int(portsUsed.Add(1)))%portCount
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free port found")
}

// freeAddress returns a loopback address with a free port that this process hasn't used before, for another process. No process is forked while it finds out:
// the child would hold the port until it has begun its program.
func freeAddress() (string, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := freeListener()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// node is an entry VM: the program comfreyrouter node in a process of its own.
type node struct {
	w                                    *world
	name, zone, callers, ready, settings string
	cuts                                 atomic.Int32 // open cuts between it and the store, without those of its zone
	rejections                           atomic.Int32 // open times in which the store rejects its calls

	busy sync.Mutex // held while its process is being stopped or killed, and started again
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// askedAt is when the process was asked to stop, and ending says that it has been asked to stop or killed.
	askedAt time.Time
	ending  bool
}

// prepare writes the node's settings.
func (n *node) prepare(machines string) error {
	store := n.w.serve(http.HandlerFunc(n.serveStore))
	var addresses [3]string
	for i := range addresses {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	n.callers, n.ready, n.settings = addresses[0], addresses[1], filepath.Join(n.w.dir, n.name+".yaml")
	text := fmt.Sprintf(`name: %q
data_centre: %q
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
  lease_most: "%dms"
  grace: "%dms"
  early: "250ms"
  order_turn: "3000ms"
  upkeep: "2s"
`, n.name, n.zone, n.callers, n.ready, addresses[2], store, machines, maxLease.Milliseconds(), grace.Milliseconds())
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// serveStore passes a call of the node to the platform's store, unless a fault keeps it from that.
func (n *node) serveStore(rw http.ResponseWriter, r *http.Request) {
	if n.isCut() {
		n.w.hang(r)
	}
	if n.w.storeDown.Load() > 0 || n.rejections.Load() > 0 {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if q := r.URL.Query(); q.Get("topic") == platform.TopicOperators && q.Has("max_kb") {
		q.Set("max_kb", strconv.Itoa(pageKB))
		r.URL.RawQuery = q.Encode()
	}
	answer := httptest.NewRecorder()
	n.w.store.ServeHTTP(answer, r)
	if strings.Contains(r.URL.RawQuery, "topic="+platform.TopicOperators) && answer.Body.Len() > pageKB<<10 {
		time.Sleep(pageTime)
	}
	if n.isCut() {
		n.w.hang(r)
	}
	if odds := n.w.loseOdds.Load(); odds > 0 && time.Now().UnixNano()%int64(odds) == 0 {
		panic(http.ErrAbortHandler)
	}
	for k, v := range answer.Header() {
		rw.Header()[k] = v
	}
	rw.WriteHeader(answer.Code)
	_, _ = rw.Write(answer.Body.Bytes()) // fails only if the node has gone
}

func (n *node) isCut() bool { return n.cuts.Load() > 0 || n.w.zoneCut(n.zone) }

// start starts the process. Its log is appended to a file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(os.Args[0], "node")
	cmd.Env = append(os.Environ(), programEnv+"=1", "COMFREYROUTER_CONFIG="+n.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.ending, n.askedAt = cmd, done, false, time.Time{}
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit code is in ProcessState
		_ = log.Close()
		n.mu.Lock()
		if !n.ending {
			n.w.violation("FAULT process of %s has ended by itself: %v", n.name, cmd.ProcessState)
		}
		n.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process if it runs.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		n.ending = true
	}
	if sig == syscall.SIGTERM {
		n.askedAt = time.Now()
	}
	_ = n.cmd.Process.Signal(sig) // it may have ended
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

// stop asks the process to stop, and kills it after the grace period.
func (n *node) stop() {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(grace):
		n.w.note("%s is killed after the grace period", n.name)
		n.kill()
	}
}

// stopping returns when the process was asked to stop, and reports whether it was.
func (n *node) stopping() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.askedAt, !n.askedAt.IsZero()
}

func (n *node) awaitReady() bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyWithin); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // it is empty
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
