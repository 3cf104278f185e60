//go:build hostile

package hostile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/ctl"
	"example.org/comfreyrouter/internal/standin/backendserver"
	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/internal/standin/platform"
	"example.org/comfreyrouter/internal/standin/taskserver"
	"example.org/comfreyrouter/logclient"
	users "example.org/comfreyrouter/platform"
)

// target is a process that serves callers.
type target struct {
	*process
	callers string
	head    string // request line and headers of a submission of a job or of a request, without lengths and without the empty line
	// ordinary sends an ordinary call and reports whether it was accepted or answered with success.
	ordinary func(t *testing.T) bool
	// finished waits until the accepted work is done.
	finished func(t *testing.T)
}

const (
	nodeCount  = 3
	callerHost = "shop.example"
	callerKey  = "key-1"
	taskTime   = 50 * time.Millisecond
)

// Limits that the settings of the tests and the configuration set.
const (
	memoryMB       = 96
	maxHeaderBytes = 16384
	maxBodyBytes   = 262144
)

const nodeSettings = `name: %q
data_centre: z
caller_address: %q
ready_address: %q
peer_address: %q
store_address: %q
machine_orders: 64
cores: 0.4
memory_mb: %d
`

// startNodes starts nodes that accept jobs, with a store and a backend server, and waits until they are ready.
func startNodes(t *testing.T, descriptors int) []*target {
	t.Helper()
	store := keyedstore.New()
	worker := taskserver.New("s0", taskTime)
	store.Put(users.TopicServers, worker.ID, worker.Registration("pool", serve(t, worker)))
	configuration, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "q", "host": callerHost, "path_prefix": "/q/", "service": "pool", "max_attempts": 3, "slack_factor": 1.6, "target_latency_ms": 600}},
		"services": []map[string]any{{"name": "pool"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": []string{callerKey}, "weight": 50}},
		"limits":   map[string]int{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	require.NoError(t, err)
	store.Put(users.TopicOperators, users.KeyConfiguration, configuration)
	address := serve(t, store)
	var nodes []*target
	for i := range nodeCount {
		callers, ready := freeAddress(t), freeAddress(t)
		name := fmt.Sprintf("n%d", i)
		p := start(t, name, "node", fmt.Sprintf(nodeSettings, name, callers, ready, freeAddress(t), address, memoryMB), descriptors)
		n := &target{process: p, callers: callers, head: "POST /q/%016x HTTP/1.1\r\nHost: " + callerHost + "\r\nAuthorization: Bearer " + callerKey + "\r\n"}
		n.ordinary, n.finished = n.jobs()
		nodes = append(nodes, n)
		eventually(t, name+" is ready", func() bool {
			resp, err := http.Get("http://" + ready + "/readyz")
			return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
		})
	}
	return nodes
}

// serve serves a stand-in until the test ends, and returns its address.
func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

var jobNumber atomic.Int64

// jobs returns functions that submit a job to a node, and that wait until the last one is complete.
func (n *target) jobs() (submit func(t *testing.T) bool, finished func(t *testing.T)) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var url string
	call := func(t *testing.T, method, body string) (int, string) {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		require.NoError(t, err)
		req.Host = callerHost
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err := client.Do(req)
		if err != nil {
			return 0, ""
		}
		defer resp.Body.Close()
		var answer bytes.Buffer
		_, _ = answer.ReadFrom(resp.Body) // a broken answer has no phase
		return resp.StatusCode, answer.String()
	}
	submit = func(t *testing.T) bool {
		url = fmt.Sprintf("http://%s/q/%016x", n.callers, 0xabc0000+jobNumber.Add(1))
		status, _ := call(t, http.MethodPost, `{"spec":"ordinary","pipeline":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":50}]}`)
		return status == http.StatusOK
	}
	finished = func(t *testing.T) {
		t.Helper()
		eventually(t, "the job is complete", func() bool {
			_, answer := call(t, http.MethodGet, "")
			return strings.Contains(answer, "complete")
		})
	}
	return submit, finished
}

const entrySettings = `name: e1
data_centre: falun
caller_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
platform_address: %s
limits:
  max_body_bytes: %d
  max_waiting_bytes: 8388608
  max_caller_connections: 1024
`

// startEntry starts an entry VM with a platform and backend servers, applies the declarations of the scenarios, and waits until it serves a team.
func startEntry(t *testing.T, descriptors int) *target {
	t.Helper()
	core := platform.NewCore(platform.Options{KeepRecords: platform.DefaultKeepRecords})
	listener, err := platform.Listen("127.0.0.1:0", core)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, listener.Close()) })
	declared := declare(t, core)
	p := start(t, "e1", "entry", fmt.Sprintf(entrySettings, listener.Addr(), maxBodyBytes), descriptors)
	addresses := p.find(t, `"event":1001.*"caller_address":"([^"]+)","operator_address":"([^"]+)"`)
	p.find(t, `"event":1002`)
	operate := func(args ...string) []byte {
		var out, problems bytes.Buffer
		code := ctl.Run(t.Context(), append([]string{"-server", addresses[2]}, args...),
			ctl.Terminal{In: &bytes.Buffer{}, Out: &out, Err: &problems, Getenv: func(string) string { return "" }})
		require.Zero(t, code, problems.String())
		return out.Bytes()
	}
	operate("apply", "-f", declared, "-yes")
	var given struct{ Key string }
	require.NoError(t, json.Unmarshal(operate("key", "give", "varmland", "-id", "k-varmland", "-o", "json"), &given))
	e := &target{
		process: p, callers: addresses[1], finished: func(*testing.T) {},
		head: "POST /v1/requests/quote HTTP/1.1\r\nHost: e1\r\nComfrey-Request-Id: %016x\r\nComfrey-Deadline-Ms: 30000\r\nComfrey-Repeatable: true\r\nComfrey-Key: " + given.Key + "\r\n",
	}
	e.ordinary = e.request(given.Key)
	eventually(t, "a request is served", func() bool { return e.ordinary(t) })
	return e
}

// declare starts the backend servers of the scenarios' fleet, and returns the directory with the declarations.
func declare(t *testing.T, core *platform.Core) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob(filepath.Join("..", "scenario", "testdata", "fleet", "*.yaml"))
	require.NoError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		text := regexp.MustCompile(`@\w+`).ReplaceAllStringFunc(string(data), func(s string) string {
			if s == "@NAME" {
				return s
			}
			l, err := backendserver.Listen("127.0.0.1:0", backendserver.New(backendserver.Options{Name: s[1:], Slots: 8}))
			require.NoError(t, err)
			t.Cleanup(func() { require.NoError(t, l.Close()) })
			core.SetVM(logclient.VM{Name: s[1:], Address: l.Addr(), State: logclient.VMLive})
			return l.Addr()
		})
		require.NoError(t, os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(text), 0o600))
	}
	return dir
}

// request returns a function that sends an ordinary request to an entry VM.
func (n *target) request(key string) func(t *testing.T) bool {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(t *testing.T) bool {
		body, err := json.Marshal(backendserver.SleepTask{Order: "ordinary", RunMillis: 10})
		require.NoError(t, err)
		req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/v1/requests/quote", bytes.NewReader(body))
		require.NoError(t, err)
		req.Header.Set("Comfrey-Key", key)
		req.Header.Set("Comfrey-Repeatable", "true")
		req.Header.Set("Comfrey-Deadline-Ms", "10000")
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
}

// find waits until the log of a process matches a pattern, and returns the match and its groups.
func (p *process) find(t *testing.T, pattern string) []string {
	t.Helper()
	var found []string
	eventually(t, p.name+" logs "+pattern, func() bool {
		data, _ := os.ReadFile(p.log)
		found = regexp.MustCompile(pattern).FindStringSubmatch(string(data))
		return found != nil
	})
	return found
}
