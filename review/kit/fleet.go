package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
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
)

// The deployment: six nodes in three zones, as at pandigital-cr, and one service of nine workers, as the pools of the sites.
const (
	serviceName  = "butik"
	callerHost   = "counter.example"
	queuePrefix  = "/quote/"
	callerKey    = "key-of-the-only-tenant"
	nodesPerZone = 2
	serversZone  = 3 // servers in each zone
	maxAttempts  = 3
	leaseMost    = 10 * time.Second // hold_max_ms of rutnat
	heartbeat    = 1500 * time.Millisecond
	finalWait    = 14 * time.Second // finish_s
)

var zones = []string{"vasteras", "orebro", "eskilstuna"}

// node is one entry VM, which runs `comfreyrouter node`.
type node struct {
	name, zone, callers, ready, peers, store string
	link                                     *link
	settings                                 string
	cmd                                      *exec.Cmd
	done                                     chan struct{}
}

// fleet is a deployment with its platform.
type fleet struct {
	rec          *recorder
	dir          string
	keepFinished time.Duration
	store        *keyedstore.Store
	late         func(node string, r *http.Request, body []byte) time.Duration
	nodes        []*node
	servers      []*server
	closers      []func()
	machines     string
	nextPort     int
	gangs        *gangs
	rackSize     int                             // servers in a rack
	kinds        map[int]string                  // of servers that aren't of kind a, by their number
	runTime      func(task string) time.Duration // work of a task; 0: it lasts until it is stopped

	mu      sync.Mutex
	gone    *server           // lost for good with its machine
	sizes   map[string][]size // of the tasks of each step, by job
	cutZone string            // zone that is cut off from the others and from the store
	healed  chan struct{}     // closed when the cut ends
	holders map[int64]string  // zone of the dispatcher of each epoch
	ended   chan struct{}
	down    atomic.Bool
}

func newFleet(rec *recorder) *fleet {
	f := &fleet{rec: rec, store: keyedstore.New(), holders: map[int64]string{}, sizes: map[string][]size{}, rackSize: 4, ended: make(chan struct{})}
	f.runTime = func(string) time.Duration { return time.Second }
	f.gangs = newGangs(f)
	return f
}

// start starts the platform, the servers and the nodes, and waits until all nodes are ready and one dispatches.
func (f *fleet) start() error {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	f.dir = dir
	f.configure()
	s, address, err := serve(http.HandlerFunc(f.machineList))
	if err != nil {
		return err
	}
	f.machines = address
	f.closers = append(f.closers, func() { _ = s.Close() })
	for i := range serversZone * len(zones) {
		srv := newServer(f, fmt.Sprintf("i-%02d", i), zones[i%len(zones)], i)
		if kind := f.kinds[i]; kind != "" {
			srv.kind = kind
		}
		if err := srv.boot(); err != nil {
			return err
		}
		f.servers = append(f.servers, srv)
	}
	go f.expireEntries()
	for i := range nodesPerZone * len(zones) {
		if err := f.addNode(i); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	return f.await("the fleet is ready", 20*time.Second, func() bool {
		epoch, _ := dispatcherOf(f.store)
		for _, n := range f.nodes {
			if !n.isReady() {
				return false
			}
		}
		return epoch > 0
	})
}

// configure writes the operators' configuration: one queue, one tenant without a limit.
func (f *fleet) configure() {
	config := map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-quote", "host": callerHost, "path_prefix": queuePrefix, "service": serviceName, "priority": 0, "max_attempts": maxAttempts,
			"slack_factor": 1.6, "target_latency_ms": 600, "timeout_ms": 3000, "public": false,
		}},
		"services": []any{map[string]any{"name": serviceName, "preconditions": true, "standby": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  []any{map[string]any{"name": "anna", "api_keys": []string{callerKey}, "weight": 50, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(err) // maps of plain values always encode
	}
	f.store.Put(topicOperators, "config", data)
}

// Ports of the nodes are taken from below the range from which the system gives ports to outgoing connections, and cases that run side by side take
// them from different parts of it.
const (
	firstPort    = 12000
	portsPerCase = 60
	portParts    = 300
)

// freeAddress returns a loopback address with a free port.
func (f *fleet) freeAddress() (string, error) {
	if f.nextPort == 0 {
		f.nextPort = firstPort + os.Getpid()%portParts*portsPerCase
	}
	for range portsPerCase {
		f.nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", f.nextPort))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		return address, l.Close()
	}
	return "", errors.New("no free port found")
}

func (f *fleet) addNode(i int) error {
	zone := zones[i%len(zones)]
	n := &node{name: fmt.Sprintf("edge-%s-%d", zone, 1+i/len(zones)), zone: zone}
	n.link = &link{store: f.store, node: n.name, late: f.late, down: &f.down}
	s, address, err := serve(n.link)
	if err != nil {
		return err
	}
	n.store = address
	f.closers = append(f.closers, func() { _ = s.Close() })
	for _, field := range []*string{&n.callers, &n.ready, &n.peers} {
		if *field, err = f.freeAddress(); err != nil {
			return err
		}
	}
	n.settings = filepath.Join(f.dir, n.name+".yaml")
	if err := os.WriteFile(n.settings, []byte(f.settingsOf(n)), 0o600); err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// settingsOf returns the settings of a node as deploy/settings.yaml.tmpl renders them, with the bounds of rutnat.
func (f *fleet) settingsOf(n *node) string {
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
  lease_most: "10000ms"
  grace: "6s"
  early: "250ms"
  order_turn: "3000ms"
  upkeep: "2s"
`, n.name, n.zone, n.callers, n.ready, n.peers, n.store, f.machines)
	if f.keepFinished > 0 {
		text += fmt.Sprintf("  keep_finished: %q\n", f.keepFinished)
	}
	return text
}

// startNode starts the process of a node. Its log goes to a file in the temporary folder.
func (f *fleet) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/comfreyrouter", "node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "COMFREYROUTER_CONFIG=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	f.rec.add("process %d: %s", n.cmd.Process.Pid, n.name)
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // the case looks at what the process has done, not at its exit code
		_ = log.Close()
		close(done)
	}(n.cmd, n.done)
	return nil
}

// restart asks a node to stop, as the platform does, and starts it again.
func (f *fleet) restart(n *node) error {
	f.rec.add("SIGTERM to %s", n.name)
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.done:
	case <-time.After(6 * time.Second):
		f.rec.add("SIGKILL to %s after grace_s", n.name)
		_ = n.cmd.Process.Kill() // it may have just ended
		<-n.done
	}
	if err := f.startNode(n); err != nil {
		return err
	}
	return f.await(n.name+" is ready", 10*time.Second, n.isReady)
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // nothing to read
	return resp.StatusCode == http.StatusOK
}

// await waits for a condition.
func (f *fleet) await(what string, limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			f.rec.add("%s", what)
			return nil
		}
	}
	return fmt.Errorf("never: %s", what)
}

// dispatcher returns the node that dispatches.
func (f *fleet) dispatcher() *node {
	_, name := dispatcherOf(f.store)
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	close(f.ended)
	for _, n := range f.nodes {
		if n.cmd == nil || n.cmd.Process == nil {
			continue
		}
		_ = n.cmd.Process.Kill() // it may have ended
		<-n.done
	}
	for _, s := range f.servers {
		s.shutDown()
	}
	for _, c := range f.closers {
		c()
	}
	if f.dir != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir) // a temporary folder
	}
}

// cutOff cuts a zone off from the other zones and from the store; an empty zone ends the cut.
func (f *fleet) cutOff(zone string) {
	f.mu.Lock()
	if f.healed != nil {
		close(f.healed)
		f.healed = nil
	}
	if f.cutZone = zone; zone != "" {
		f.healed = make(chan struct{})
	}
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.link.setCut(n.zone == zone)
	}
	f.rec.add("zone that is cut off: %q", zone)
}

// setDown takes the store down for all nodes and servers, or ends that. It answers 503, and removes no entries meanwhile.
func (f *fleet) setDown(on bool) {
	f.down.Store(on)
	f.rec.add("the store is down: %v", on)
	if !on {
		for _, s := range f.servers {
			s.beat()
		}
	}
}

// zoneOfEpoch returns the zone of the node that dispatches in an epoch.
func (f *fleet) zoneOfEpoch(epoch int64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if zone, known := f.holders[epoch]; known {
		return zone
	}
	e, name := dispatcherOf(f.store)
	if e != epoch {
		return ""
	}
	for _, n := range f.nodes {
		if n.name == name {
			f.holders[epoch] = n.zone
			f.rec.add("epoch %d: %s dispatches", epoch, name)
		}
	}
	return f.holders[epoch]
}

// severed returns a channel that ends with the cut between a server and the dispatcher of an epoch, or nil if there is none.
func (f *fleet) severed(s *server, epoch int64) chan struct{} {
	zone := f.zoneOfEpoch(epoch)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutZone != "" && (zone == f.cutZone) != (s.zone == f.cutZone) {
		return f.healed
	}
	return nil
}

// isCutOff reports whether a zone is cut off from the store.
func (f *fleet) isCutOff(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutZone == zone
}

// expireEntries removes the entries of servers that have been silent for three heartbeats, as the platform does.
func (f *fleet) expireEntries() {
	for {
		select {
		case <-f.ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, s := range f.servers {
			if f.down.Load() {
				break
			}
			s.expireEntry()
		}
	}
}

// call makes one call of a caller, and returns the status; 0 stands for no answer.
func (f *fleet) call(n *node, method, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.callers+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = callerHost
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Comfreyrouter-Deadline-Ms", "3000")
	c := http.Client{Timeout: 3 * time.Second}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close() //nolint:errcheck // only read
	var out bytes.Buffer
	_, _ = out.ReadFrom(resp.Body) // a short answer shows in the record
	return resp.StatusCode, out.String()
}

// size is what a task requests.
type size struct{ cpu, memMB int }

// setSizes records what the tasks of a job request, which workers know from its spec.
func (f *fleet) setSizes(id string, steps []map[string]any) {
	var sizes []size
	for _, s := range steps {
		sizes = append(sizes, size{s["cpu"].(int), s["mem_mb"].(int)})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes[id] = sizes
}

// sizeOf returns what a task, named ID.K.STEP.INDEX, requests.
func (f *fleet) sizeOf(task string) size {
	parts := strings.Split(task, ".")
	i, err := strconv.Atoi(parts[2])
	f.mu.Lock()
	defer f.mu.Unlock()
	if sizes := f.sizes[parts[0]]; err == nil && i < len(sizes) {
		return sizes[i]
	}
	return size{}
}

// submit hands a job in, at another node each time, until it is accepted.
func (f *fleet) submit(id string, steps ...map[string]any) error {
	f.setSizes(id, steps)
	body, err := json.Marshal(map[string]any{"spec": "work of " + id, "pipeline": steps})
	if err != nil {
		return err
	}
	for i := range 20 {
		n := f.nodes[i%len(f.nodes)]
		status, text := f.call(n, http.MethodPost, id, body)
		f.rec.add("POST %s at %s: %d %s", id, n.name, status, text)
		if status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// phase asks a node for the state of a job.
func (f *fleet) phase(n *node, id string) string {
	status, text := f.call(n, http.MethodGet, id, nil)
	var body struct {
		Phase string `json:"phase"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
		return body.Phase
	}
	return fmt.Sprintf("status %d", status)
}
