package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"example.org/comfreyrouter/entry"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/kernel"
	"example.org/comfreyrouter/logclient"
	"example.org/comfreyrouter/metrics"
	"example.org/comfreyrouter/operatorapi"
	"example.org/comfreyrouter/peer"
)

// platform adapts the platform's client to the reconciler: it returns the list of VMs as a map, and keeps the last one.
type platform struct {
	*logclient.HTTPClient
	last atomic.Pointer[map[string]string]
}

func newPlatform(h *logclient.HTTPClient) *platform { return &platform{HTTPClient: h} }

// VMs returns the state of each VM by name.
func (p *platform) VMs(ctx context.Context) (map[string]string, error) {
	list, err := p.HTTPClient.VMs(ctx)
	if err != nil {
		return nil, err
	}
	out := make(map[string]string, len(list))
	for _, vm := range list {
		out[vm.Name] = string(vm.State)
	}
	p.last.Store(&out)
	return out, nil
}

// gone reports whether a VM is marked as gone in the last list that could be read.
func (p *platform) gone(vm string) bool {
	last := p.last.Load()
	return last != nil && (*last)[vm] == string(logclient.VMGone)
}

// peers adapts the heartbeat exchange to the engine.
type peers struct {
	*peer.Exchange
	platform *platform
	engine   atomic.Pointer[entry.Engine]
}

func (p *peers) ownStatus() peer.Status {
	if e := p.engine.Load(); e != nil {
		return e.Status()
	}
	return peer.Status{}
}

// goneSilenceTimeout is how long a peer must have been silent before the platform's list is trusted that its VM is gone. The list
// is delayed, and may still refer to the predecessor of a VM that answers.
const goneSilenceTimeout = 5 * time.Second

// Statuses returns the last answer of each peer, and whether its VM is gone.
func (p *peers) Statuses() []entry.PeerStatus {
	last := p.Exchange.Statuses()
	out := make([]entry.PeerStatus, 0, len(last))
	for _, s := range last {
		gone := time.Since(s.AskedAt) > goneSilenceTimeout && p.platform.gone(s.VM)
		out = append(out, entry.PeerStatus{Status: s.Status, AskedAt: s.AskedAt, Gone: gone})
	}
	return out
}

// Forward forwards a request to the entry VM that issued its id.
func (p *peers) Forward(ctx context.Context, address string, args peer.ForwardArgs) (peer.ResultReply, error) {
	return p.Client(address).Forward(ctx, args)
}

// Result asks another entry VM for the result of a request.
func (p *peers) Result(ctx context.Context, address string, args peer.ResultArgs) (peer.ResultReply, error) {
	return p.Client(address).Result(ctx, args)
}

// view provides this VM's view of the fleet to the reconciler, the operator API and the metrics.
type view struct {
	daemon   *daemon
	engine   *entry.Engine
	follower *logclient.Follower
	peers    *peers
}

func (d *daemon) newView(l kernel.Lookup) *view {
	e := mustGet[*entry.Engine](l, serviceEngine)
	f := mustGet[*logclient.Follower](l, serviceFollower)
	p := mustGet[*peers](l, servicePeers)
	return &view{daemon: d, engine: e, follower: f, peers: p}
}

// Confirmed reports whether the log is readable and this VM has read it itself within the freshness bound of keys.
func (v *view) Confirmed() bool {
	bound := time.Duration(v.daemon.store.Config().Policy.KeyFreshnessMillis) * time.Millisecond
	return v.follower.Readable() && time.Since(v.follower.ReadAt()) <= bound
}

// RunningTasks returns the running tasks of each backend server, on all entry VMs.
func (v *view) RunningTasks() map[string]int {
	running := v.engine.Status().Outstanding
	if running == nil {
		running = map[string]int{}
	}
	for _, p := range v.peers.Statuses() {
		for server, n := range p.Outstanding {
			running[server] += n
		}
	}
	return running
}

// NodeStatus implements operatorapi.StatusSource.
func (v *view) NodeStatus() operatorapi.NodeStatus {
	s := v.daemon.Settings
	out := operatorapi.NodeStatus{
		VM: s.Name, DataCentre: s.DataCentre, Incarnation: v.daemon.incarnation,
		Ready: v.engine.Joined(), LogReadable: v.follower.Readable(), ViewFresh: v.engine.ViewFresh(),
	}
	for _, p := range v.peers.Statuses() {
		out.Peers = append(out.Peers, operatorapi.PeerStatus{
			VM: p.VM, DataCentre: p.DataCentre, Offset: p.Offset, LogReadable: p.LogReadable,
			HeardMillis: time.Since(p.AskedAt).Milliseconds(),
		})
	}
	return out
}

func (v *view) gauges() metrics.Gauges {
	store := v.daemon.store
	return metrics.Gauges{
		Waiting: func() float64 {
			n := 0
			for _, teams := range v.engine.Status().Waiting {
				for _, count := range teams {
					n += count
				}
			}
			return float64(n)
		},
		Running: func() float64 {
			n := 0
			for _, count := range v.engine.Status().Outstanding {
				n += count
			}
			return float64(n)
		},
		Offset:    func() float64 { return float64(store.Offset()) },
		ReadAge:   func() float64 { return time.Since(v.follower.ReadAt()).Seconds() },
		Version:   func() float64 { return float64(store.Config().Version) },
		ViewFresh: func() float64 { return boolGauge(v.engine.ViewFresh()) },
		LeaseLeft: func() float64 { return v.engine.LeaseLeft().Seconds() },
		SinceSnapshot: func() float64 {
			var n uint64
			store.View(func(s *fleet.State) { n = s.Offset - s.SnapshotOffset })
			return float64(n)
		},
		Unavailable: func() float64 { return float64(unavailableServers(store)) },
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// eventCounter returns a function that counts the events of the log client and logs those that an operator should see.
func (d *daemon) eventCounter(m *metrics.Metrics) logclient.CountFunc {
	return func(e logclient.Event) {
		m.LogEvent(e)
		switch e {
		case logclient.EventRestored, logclient.EventPeerSnapshot:
			events.Log(d.Logger, events.SnapshotRestored, d.store.Offset())
		case logclient.EventSnapshotWritten:
			events.Log(d.Logger, events.SnapshotWritten, d.store.Offset())
		case logclient.EventSnapshotFailed:
			events.Log(d.Logger, events.SnapshotFailed)
		case logclient.EventRecordMalformed:
			events.Log(d.Logger, events.RecordSkipped, d.store.Offset()+1)
		}
	}
}
