package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"example.org/comfreyrouter/internal/command"
	"example.org/comfreyrouter/internal/standin/backendserver"
)

const (
	// waitTimeout ends a wait whose condition never holds. A wait that succeeds doesn't depend on it.
	waitTimeout  = 2 * time.Minute
	pollInterval = 25 * time.Millisecond
)

// waitFor waits for a condition and returns an error if it never holds.
func waitFor(what string, holds func() bool) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("never: %s", what)
}

// process is a program that a script has started. Its log is the file NAME.log.
type process struct {
	name, log string
	cmd       *exec.Cmd
	done      chan struct{}
}

type fleetKey struct{}

// fleet holds the processes that one script has started, and their addresses and keys.
type fleet struct {
	dir, declared string

	mu        sync.Mutex
	processes map[string]*process
	addresses map[string]string // of the platform and the backend servers, by name
	callers   map[string]string // of the entry VMs that take requests, by name
	operators map[string]string
	peers     map[string]string
	keys      map[string]string // by team
	pending   map[string]chan answer
	load      *load
}

func newFleet(dir, declared string) *fleet {
	return &fleet{
		dir: dir, declared: declared, processes: map[string]*process{}, addresses: map[string]string{}, callers: map[string]string{},
		operators: map[string]string{}, peers: map[string]string{}, keys: map[string]string{}, pending: map[string]chan answer{},
	}
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value(fleetKey{}).(*fleet) }

// start starts comfreyrouter. A successor of the same name overwrites its log.
func (f *fleet) start(name string, args ...string) (*process, error) {
	p := &process{name: name, log: filepath.Join(f.dir, name+".log"), done: make(chan struct{})}
	out, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command("comfreyrouter", args...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.Dir = out, out, f.dir
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	go func() {
		_ = p.cmd.Wait() // the exit code is in ProcessState
		_ = out.Close()
		close(p.done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return p, nil
}

// find waits until the log of a process matches a pattern, and returns the match and its groups.
func (p *process) find(pattern string) ([]string, error) {
	re, err := regexp.Compile("(?m)" + pattern)
	if err != nil {
		return nil, err
	}
	var found []string
	err = waitFor(p.name+" logs "+pattern, func() bool {
		data, _ := os.ReadFile(p.log)
		found = re.FindStringSubmatch(string(data))
		return found != nil
	})
	return found, err
}

// close ends the load and kills every process that the script has started, stopped ones (SIGSTOP) too.
func (f *fleet) close() {
	if f.load != nil {
		f.load.end()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
	}
}

// declare writes the declarations to the folder declared: the common files, overwritten by those of the script with the same name, with
// each @NAME replaced by the address of that server.
func (f *fleet) declare() error {
	into := filepath.Join(f.dir, "declared")
	if err := os.MkdirAll(into, 0o755); err != nil {
		return err
	}
	for _, dir := range []string{f.declared, filepath.Join(f.dir, "fleet")} {
		files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
		if err != nil {
			return err
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			text := regexp.MustCompile(`@\w+`).ReplaceAllStringFunc(string(data), func(s string) string { return f.addresses[s[1:]] })
			if err := os.WriteFile(filepath.Join(into, filepath.Base(file)), []byte(text), 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) serverNames() ([]string, error) {
	data, err := os.ReadFile(filepath.Join(f.declared, "fleet.yaml"))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, m := range regexp.MustCompile(`"@(\w+)"`).FindAllStringSubmatch(string(data), -1) {
		names = append(names, m[1])
	}
	return names, nil
}

// startStandIns starts the stand-ins of the backend servers and of the platform.
func (f *fleet) startStandIns(platformFlags []string) error {
	names, err := f.serverNames()
	if err != nil {
		return err
	}
	args := append([]string{"standin", "platform", "-address", "127.0.0.1:0", "-list-lag", "0s"}, platformFlags...)
	for _, name := range names {
		if err := f.standIn(name, "standin", "backend-server", "-address", "127.0.0.1:0", "-name", name, "-starts", name+".starts"); err != nil {
			return err
		}
		args = append(args, "-vm", name+"="+f.addresses[name])
	}
	return f.standIn("platform", args...)
}

func (f *fleet) standIn(name string, args ...string) error {
	p, err := f.start(name, args...)
	if err != nil {
		return err
	}
	found, err := p.find(`listens on (\S+)$`)
	if err != nil {
		return err
	}
	f.addresses[name] = found[1]
	return nil
}

const settingsTemplate = `name: %s
data_centre: %s
caller_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
platform_address: %s
stop_delay: 500ms
peers: [%s]
`

// startEntry starts an entry VM and waits until it accepts requests. Its peers are the other entry VMs, or none if it is alone.
func (f *fleet) startEntry(name, dataCentre string, alone bool) error {
	var peers []string
	for _, other := range slices.Sorted(maps.Keys(f.peers)) {
		if other != name && !alone {
			peers = append(peers, f.peers[other])
		}
	}
	text := fmt.Sprintf(settingsTemplate, name, dataCentre, f.addresses["platform"], strings.Join(peers, ", "))
	file := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return err
	}
	p, err := f.start(name, "entry", "-settings", file)
	if err != nil {
		return err
	}
	found, err := p.find(`"event":1001.*"caller_address":"([^"]+)","operator_address":"([^"]+)","peer_address":"([^"]+)"`)
	if err != nil {
		return err
	}
	if _, err := p.find(`"event":1002`); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[name], f.operators[name], f.peers[name] = found[1], found[2], found[3]
	return nil
}

// ctl runs comfreyctl against an entry VM.
func (f *fleet) ctl(via string, args ...string) (stdout, stderr string, err error) {
	var out, errOut bytes.Buffer
	cmd := exec.Command("comfreyctl", append([]string{"-server", f.operators[via]}, args...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.dir, &out, &errOut
	err = cmd.Run()
	return out.String(), errOut.String(), err
}

// signal sends a signal to a process of the script. The load stops using an entry VM only once the script runs the command exited.
func (f *fleet) signal(name, sig string) error {
	signals := map[string]syscall.Signal{"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM}
	p, s := f.processes[name], signals[sig]
	if p == nil || s == 0 {
		return fmt.Errorf("no process %s or signal %s", name, sig)
	}
	return p.cmd.Process.Signal(s)
}

// starts returns the tasks that each backend server has started, by server and in order of their starts.
func (f *fleet) starts() (map[string][]command.StartRecord, error) {
	files, err := filepath.Glob(filepath.Join(f.dir, "*.starts"))
	if err != nil {
		return nil, err
	}
	out := map[string][]command.StartRecord{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(data[:bytes.LastIndexByte(data, '\n')+1]))
		for lines.Scan() {
			var s command.StartRecord
			if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
				return nil, err
			}
			name := strings.TrimSuffix(filepath.Base(file), ".starts")
			out[name] = append(out[name], s)
		}
	}
	return out, nil
}

// countStarts counts the starts of each order.
func (f *fleet) countStarts() (map[string]int, error) {
	all, err := f.starts()
	counts := map[string]int{}
	for _, starts := range all {
		for _, s := range starts {
			var body backendserver.SleepTask
			if err := json.Unmarshal(s.Body, &body); err != nil {
				return nil, err
			}
			counts[body.Order]++
		}
	}
	return counts, err
}
