package peer

import (
	"encoding/binary"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"example.org/comfreyrouter/fleet"
)

// The load of a VM (Running, Waiting, Outstanding) is by far the largest part of a heartbeat, so it travels as numbers: names are replaced by
// their places in the sorted names of the configuration, whose version goes along. A receiver with another version keeps the load that it
// had; both have the same one again within seconds.

// index holds the sorted names of one configuration.
type index struct {
	version               uint64
	servers, pools, teams []string
}

func newIndex(c *fleet.Config) *index {
	return &index{
		version: c.Version,
		servers: slices.Sorted(maps.Keys(c.Servers)),
		pools:   slices.Sorted(maps.Keys(c.Pools)),
		teams:   slices.Sorted(maps.Keys(c.Teams)),
	}
}

// LoadCodec packs and unpacks loads for the configuration in force.
type LoadCodec struct {
	config func() *fleet.Config

	mu    sync.Mutex
	index *index
}

// NewLoadCodec returns a codec for the configuration that config returns.
func NewLoadCodec(config func() *fleet.Config) *LoadCodec { return &LoadCodec{config: config} }

func (l *LoadCodec) current() *index {
	c := l.config()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.index == nil || l.index.version != c.Version {
		l.index = newIndex(c)
	}
	return l.index
}

// Pack returns the status with its load as bytes. Names that the configuration does not have are left out.
func (l *LoadCodec) Pack(s Status) Status {
	ix := l.current()
	b := appendCounts(nil, ix.servers, s.Outstanding)
	b = appendNested(b, ix.pools, ix.teams, s.Running)
	b = appendNested(b, ix.pools, ix.teams, s.Waiting)
	s = s.WithoutLoad()
	s.Load, s.LoadVersion = b, ix.version
	return s
}

// WithoutLoad returns the status without its load.
func (s Status) WithoutLoad() Status {
	s.Running, s.Waiting, s.Outstanding = nil, nil, nil
	s.Load, s.LoadVersion = nil, 0
	return s
}

// Unpack returns the status with its load by name. It reports false if the status has no load, or one for another configuration.
func (l *LoadCodec) Unpack(s Status) (Status, bool) {
	ix := l.current()
	if s.Load == nil || s.LoadVersion != ix.version {
		return s.WithoutLoad(), false
	}
	r := &reader{data: s.Load}
	outstanding := r.counts(ix.servers)
	running := r.nested(ix.pools, ix.teams)
	waiting := r.nested(ix.pools, ix.teams)
	s = s.WithoutLoad()
	if r.err != nil {
		return s, false
	}
	s.Outstanding, s.Running, s.Waiting = outstanding, running, waiting
	return s, true
}

// appendCounts writes the number of entries, and for each the gap to the place before and the count.
func appendCounts(b []byte, names []string, counts map[string]int) []byte {
	places := placesOf(names, counts)
	b = binary.AppendUvarint(b, uint64(len(places)))
	last := -1
	for _, place := range places {
		b = binary.AppendUvarint(b, uint64(place-last-1))
		b = binary.AppendUvarint(b, uint64(max(0, counts[names[place]])))
		last = place
	}
	return b
}

func appendNested(b []byte, outer, inner []string, counts map[string]map[string]int) []byte {
	places := placesOf(outer, counts)
	b = binary.AppendUvarint(b, uint64(len(places)))
	last := -1
	for _, place := range places {
		b = binary.AppendUvarint(b, uint64(place-last-1))
		b = appendCounts(b, inner, counts[outer[place]])
		last = place
	}
	return b
}

func placesOf[V any](names []string, m map[string]V) []int {
	places := make([]int, 0, len(m))
	for name := range m {
		if place, ok := slices.BinarySearch(names, name); ok {
			places = append(places, place)
		}
	}
	slices.Sort(places)
	return places
}

var errLoad = errors.New("malformed load")

// reader reads what the append functions wrote.
type reader struct {
	data []byte
	err  error
}

func (r *reader) number() int {
	n, size := binary.Uvarint(r.data)
	if size <= 0 || n > 1<<31 {
		r.err = errLoad
		return 0
	}
	r.data = r.data[size:]
	return int(n)
}

// name reads a gap and returns the name at the place after it.
func (r *reader) name(names []string, last *int) (string, bool) {
	*last += r.number() + 1
	if r.err == nil && *last >= len(names) {
		r.err = errLoad
	}
	if r.err != nil {
		return "", false
	}
	return names[*last], true
}

func (r *reader) counts(names []string) map[string]int {
	out := map[string]int{}
	last := -1
	for range r.number() {
		name, ok := r.name(names, &last)
		if !ok {
			return nil
		}
		out[name] = r.number()
	}
	return out
}

func (r *reader) nested(outer, inner []string) map[string]map[string]int {
	out := map[string]map[string]int{}
	last := -1
	for range r.number() {
		name, ok := r.name(outer, &last)
		if !ok {
			return nil
		}
		out[name] = r.counts(inner)
	}
	return out
}

// Pace of the loads to one peer. At the planned size a full load has about 2.7 KB and then goes out every three seconds, which keeps the control
// traffic of a node under its 27 KB a second; at today's size it goes with every heartbeat.
const (
	loadBytesPerSecond = 900
	loadBurst          = 4 << 10
)

// LoadPacer decides which heartbeats carry a load.
type LoadPacer struct {
	mu       sync.Mutex
	peers    map[string]*rate.Limiter // by incarnation
	lastSize int                      // bytes of the load that was packed last
}

// NewLoadPacer returns a pacer that has sent nothing.
func NewLoadPacer() *LoadPacer { return &LoadPacer{peers: map[string]*rate.Limiter{}} }

// AttachLoad returns the status for a peer: with its load if the peer's pace allows one of the size of the last, and without otherwise.
func (p *LoadPacer) AttachLoad(incarnation string, s Status, codec *LoadCodec, now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	limiter, ok := p.peers[incarnation]
	if !ok {
		p.forget(now)
		limiter = rate.NewLimiter(loadBytesPerSecond, loadBurst)
		p.peers[incarnation] = limiter
	}
	if limiter.TokensAt(now) < float64(min(p.lastSize, loadBurst)) {
		return s.WithoutLoad()
	}
	packed := codec.Pack(s)
	p.lastSize = len(packed.Load)
	// A load that has grown since the last one takes the bucket below zero, and the next one waits longer.
	limiter.ReserveN(now, min(p.lastSize, loadBurst))
	return packed
}

// forget drops the peers that have been sent nothing for long enough that their bursts are whole again.
func (p *LoadPacer) forget(now time.Time) {
	for id, limiter := range p.peers {
		if limiter.TokensAt(now) >= loadBurst {
			delete(p.peers, id)
		}
	}
}
