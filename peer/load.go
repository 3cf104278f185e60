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

// The load of a VM (Running, Waiting, Outstanding) is by far the largest part of a heartbeat. It is therefore encoded as numbers: names are
// replaced by their indexes in the sorted names of the configuration, and the configuration's version is sent with them. A receiver with
// another version keeps the previous load; both have the same version again within seconds.

// nameTable holds the sorted names of one configuration.
type nameTable struct {
	version               uint64
	servers, pools, teams []string
}

func newNameTable(c *fleet.Config) *nameTable {
	return &nameTable{
		version: c.Version,
		servers: slices.Sorted(maps.Keys(c.Servers)),
		pools:   slices.Sorted(maps.Keys(c.Pools)),
		teams:   slices.Sorted(maps.Keys(c.Teams)),
	}
}

// LoadCodec encodes and decodes loads for the configuration in force.
type LoadCodec struct {
	config func() *fleet.Config

	mu    sync.Mutex
	table *nameTable
}

// NewLoadCodec returns a codec for the configuration that config returns.
func NewLoadCodec(config func() *fleet.Config) *LoadCodec { return &LoadCodec{config: config} }

func (l *LoadCodec) currentTable() *nameTable {
	c := l.config()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table == nil || l.table.version != c.Version {
		l.table = newNameTable(c)
	}
	return l.table
}

// Pack returns the status with its load encoded in Load. Names that are not in the configuration are omitted.
func (l *LoadCodec) Pack(s Status) Status {
	table := l.currentTable()
	b := appendCounts(nil, table.servers, s.Outstanding)
	b = appendNested(b, table.pools, table.teams, s.Running)
	b = appendNested(b, table.pools, table.teams, s.Waiting)
	s = s.WithoutLoad()
	s.Load, s.LoadVersion = b, table.version
	return s
}

// WithoutLoad returns the status without its load.
func (s Status) WithoutLoad() Status {
	s.Running, s.Waiting, s.Outstanding = nil, nil, nil
	s.Load, s.LoadVersion = nil, 0
	return s
}

// Unpack returns the status with its load decoded. It reports false if the load is missing, malformed or for another configuration.
func (l *LoadCodec) Unpack(s Status) (Status, bool) {
	table := l.currentTable()
	if s.Load == nil || s.LoadVersion != table.version {
		return s.WithoutLoad(), false
	}
	d := &loadDecoder{data: s.Load}
	outstanding := d.readCounts(table.servers)
	running := d.readNested(table.pools, table.teams)
	waiting := d.readNested(table.pools, table.teams)
	s = s.WithoutLoad()
	if d.err != nil {
		return s, false
	}
	s.Outstanding, s.Running, s.Waiting = outstanding, running, waiting
	return s, true
}

// appendCounts appends the number of entries, and for each entry the gap to the previous index and the count.
func appendCounts(b []byte, names []string, counts map[string]int) []byte {
	indexes := indexesOf(names, counts)
	b = binary.AppendUvarint(b, uint64(len(indexes)))
	last := -1
	for _, index := range indexes {
		b = binary.AppendUvarint(b, uint64(index-last-1))
		b = binary.AppendUvarint(b, uint64(max(0, counts[names[index]])))
		last = index
	}
	return b
}

func appendNested(b []byte, outer, inner []string, counts map[string]map[string]int) []byte {
	indexes := indexesOf(outer, counts)
	b = binary.AppendUvarint(b, uint64(len(indexes)))
	last := -1
	for _, index := range indexes {
		b = binary.AppendUvarint(b, uint64(index-last-1))
		b = appendCounts(b, inner, counts[outer[index]])
		last = index
	}
	return b
}

func indexesOf[V any](names []string, m map[string]V) []int {
	indexes := make([]int, 0, len(m))
	for name := range m {
		if index, ok := slices.BinarySearch(names, name); ok {
			indexes = append(indexes, index)
		}
	}
	slices.Sort(indexes)
	return indexes
}

var errMalformedLoad = errors.New("malformed load")

// loadDecoder decodes the output of appendCounts and appendNested.
type loadDecoder struct {
	data []byte
	err  error
}

func (d *loadDecoder) readNumber() int {
	n, size := binary.Uvarint(d.data)
	if size <= 0 || n > 1<<31 {
		d.err = errMalformedLoad
		return 0
	}
	d.data = d.data[size:]
	return int(n)
}

// readName reads a gap and returns the name at the index that it leads to. last is the previous index and is updated.
func (d *loadDecoder) readName(names []string, last *int) (string, bool) {
	*last += d.readNumber() + 1
	if d.err == nil && *last >= len(names) {
		d.err = errMalformedLoad
	}
	if d.err != nil {
		return "", false
	}
	return names[*last], true
}

func (d *loadDecoder) readCounts(names []string) map[string]int {
	out := map[string]int{}
	last := -1
	for range d.readNumber() {
		name, ok := d.readName(names, &last)
		if !ok {
			return nil
		}
		out[name] = d.readNumber()
	}
	return out
}

func (d *loadDecoder) readNested(outer, inner []string) map[string]map[string]int {
	out := map[string]map[string]int{}
	last := -1
	for range d.readNumber() {
		name, ok := d.readName(outer, &last)
		if !ok {
			return nil
		}
		out[name] = d.readCounts(inner)
	}
	return out
}

// Rate limit of the loads sent to one peer. At the planned fleet size a full load has about 2.7 KB and is sent every three seconds, which keeps
// the control traffic of an entry VM below its limit of 27 KB a second; at the present size it is sent with every heartbeat.
const (
	loadBytesPerSecond = 900
	loadBurstBytes     = 4 << 10
)

// LoadPacer limits the rate at which loads are sent to each peer.
type LoadPacer struct {
	mu            sync.Mutex
	limiters      map[string]*rate.Limiter // by incarnation
	lastLoadBytes int                      // size of the load that was packed last
}

// NewLoadPacer returns a pacer with a full burst for every peer.
func NewLoadPacer() *LoadPacer { return &LoadPacer{limiters: map[string]*rate.Limiter{}} }

// AttachLoad returns the status to send to a peer: with its load if the peer's rate limit allows a load of the size of the last one, and
// without it otherwise.
func (p *LoadPacer) AttachLoad(incarnation string, s Status, codec *LoadCodec, now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	limiter, ok := p.limiters[incarnation]
	if !ok {
		p.removeIdle(now)
		limiter = rate.NewLimiter(loadBytesPerSecond, loadBurstBytes)
		p.limiters[incarnation] = limiter
	}
	if limiter.TokensAt(now) < float64(min(p.lastLoadBytes, loadBurstBytes)) {
		return s.WithoutLoad()
	}
	packed := codec.Pack(s)
	p.lastLoadBytes = len(packed.Load)
	// A load larger than the last one takes the token bucket below zero, which delays the next load accordingly.
	limiter.ReserveN(now, min(p.lastLoadBytes, loadBurstBytes))
	return packed
}

// removeIdle removes the limiters of peers to which nothing was sent for so long that their bursts are fully available again.
func (p *LoadPacer) removeIdle(now time.Time) {
	for id, limiter := range p.limiters {
		if limiter.TokensAt(now) >= loadBurstBytes {
			delete(p.limiters, id)
		}
	}
}
