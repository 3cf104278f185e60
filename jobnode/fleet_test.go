package jobnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"example.org/comfreyrouter/internal/standin/keyedstore"
	"example.org/comfreyrouter/internal/standin/taskserver"
	"example.org/comfreyrouter/platform"
)

// Names in the configuration of the tests.
const (
	testHost = "shop.example"
	testKey  = "key-1"
	jobID    = "00000000000000aa"
	// testToken is the operators' token.
	testToken       = "token"
	testTokenSHA256 = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"
	// waitTimeout bounds the wait for something that takes a second or two; a busy machine needs more.
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// testFleet is a store and backend servers, without nodes.
type testFleet struct {
	t       *testing.T
	store   *keyedstore.Store
	address netip.AddrPort
	// policies is the address of the policy service, if there is one.
	policies netip.AddrPort
	servers  []*taskserver.Server
	// addresses holds the addresses of the servers.
	addresses []string
	// relayed makes a fleet of few nodes and servers behave like a large one: orders and records go through other nodes.
	relayed bool
}

func newTestFleet(t *testing.T, servers int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: keyedstore.New()}
	f.address = f.serve(f.store)
	for i := range servers {
		s := taskserver.New(fmt.Sprintf("s%d", i), 200*time.Millisecond)
		address := f.serve(s).String()
		f.store.Put(platform.TopicServers, s.ID, s.Registration("pool", address))
		f.addresses = append(f.addresses, address)
		f.servers = append(f.servers, s)
	}
	f.configure(1, testKey)
	return f
}

func (f *testFleet) serve(h http.Handler) netip.AddrPort {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = nil
	server.Start()
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// freeAddress returns an address at which nothing listens.
func (f *testFleet) freeAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	defer func() { require.NoError(f.t, l.Close()) }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// configure publishes a configuration whose only workspace has the given keys.
func (f *testFleet) configure(version int, keys ...string) {
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "q", "host": testHost, "path_prefix": "/q/", "service": "pool", "max_attempts": 3, "slack_factor": 1.6, "target_latency_ms": 600},
			{"name": "open", "host": testHost, "path_prefix": "/q/open/", "service": "pool", "max_attempts": 3, "public": true},
		},
		"services": []map[string]any{{"name": "pool"}},
		"tenants":  []map[string]any{{"name": "w", "api_keys": keys, "weight": 50}},
	})
	require.NoError(f.t, err)
	f.store.Put(platform.TopicOperators, platform.KeyConfiguration, data)
}

// testNode is a running node.
type testNode struct {
	callers, ready string
	operators      netip.AddrPort // answers operators' queries
	stop           context.CancelFunc
	done           chan error
}

func (f *testFleet) startNode(name string) *testNode {
	s := DefaultSettings()
	s.Name, s.DataCentre, s.StoreAddress, s.PolicyAddress = name, "z", f.address, f.policies
	s.CallerAddress, s.ReadyAddress = netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")
	if f.relayed {
		s.DirectServers, s.DirectNodes, s.PeerAddress = 0, 0, f.freeAddress()
	}
	s.OperatorAddress, s.OperatorTokenSHA256 = f.freeAddress(), testTokenSHA256
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNode{operators: s.OperatorAddress, stop: cancel, done: make(chan error, 1)}
	listening := make(chan struct{})
	go func() {
		n.done <- Run(ctx, Options{Settings: s, Logger: zerolog.New(zerolog.NewTestWriter(f.t)), OnListening: func(callers, ready string) {
			n.callers, n.ready = callers, ready
			close(listening)
		}})
	}()
	<-listening
	f.t.Cleanup(func() {
		cancel()
		<-n.done
	})
	require.Eventually(f.t, func() bool { return n.isReady() }, waitTimeout, pollInterval)
	return n
}

func (n *testNode) isReady() bool {
	resp, err := http.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call makes a call and returns the status, the body and the headers; status 0 means no answer.
func (n *testNode) call(method, path, key, body string) (int, string, http.Header) {
	req, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error(), nil
	}
	req.Host = testHost
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	if resp.Close {
		resp.Header.Set("Connection", "close") // the client removes it from the headers
	}
	return resp.StatusCode, string(data), resp.Header
}

// status returns the status of a call.
func (n *testNode) status(method, path, key, body string) int {
	code, _, _ := n.call(method, path, key, body)
	return code
}

func (n *testNode) phase(id string) string {
	_, body, _ := n.call(http.MethodGet, "/q/"+id, testKey, "")
	return strings.TrimSpace(body)
}

const twoSteps = `{"spec":"x","pipeline":[{"count":3,"cpu":1000,"mem_mb":10,"estimate_ms":200},{"count":2,"cpu":1000,"mem_mb":10,"after":[0]}]}`

// starts counts the starts of all tasks on all servers.
func (f *testFleet) starts() map[string]int {
	all := map[string]int{}
	for _, s := range f.servers {
		for task, n := range s.Starts() {
			all[task] += n
		}
	}
	return all
}

// enableFault makes the store fail calls whose path has a prefix, until the returned flag is cleared.
func (f *testFleet) enableFault(path string, fault keyedstore.Fault) *atomic.Bool {
	on := &atomic.Bool{}
	on.Store(true)
	f.store.SetFault(func(r *http.Request) keyedstore.Fault {
		if on.Load() && strings.HasPrefix(r.URL.Path, path) {
			return fault
		}
		return keyedstore.NoFault
	})
	return on
}
