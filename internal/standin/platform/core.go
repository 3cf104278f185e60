package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"example.org/comfreyrouter/logclient"
)

// Clock provides the time and timers. Tests under testing/synctest can use the default clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Limits of the log.
const (
	// DefaultKeepRecords is the number of records that the log keeps by default.
	DefaultKeepRecords = 100_000
	// maxPageRecords and maxPageBytes limit the records of a page. A page with any records has at least one, whatever its size.
	maxPageRecords = 1000
	maxPageBytes   = 4 << 20
)

// Options configure a Core.
type Options struct {
	// Clock defaults to the system clock.
	Clock Clock
	// KeepRecords is the number of records that are kept, by default DefaultKeepRecords. KeepBytes limits their total size; 0 means no limit.
	KeepRecords int
	KeepBytes   int
	// ListLag is the delay after which a change of a VM shows in the list of VMs.
	ListLag time.Duration
	// Reboot is called for each reboot of a VM. With nil, reboots succeed without effect.
	Reboot func(ctx context.Context, name string) error
}

// Core is the platform without its HTTP layer. It is safe for concurrent use.
type Core struct {
	clock       Clock
	done        chan struct{}
	closeOnce   sync.Once
	heldAppends sync.WaitGroup

	mu      sync.Mutex
	options Options
	faults  Faults
	changed chan struct{} // closed at the next append or change of the faults
	first   uint64
	next    uint64
	size    int
	records []logclient.Record
	vms     map[string][]vmVersion
	reboots map[string]bool // keys of the reboots that were requested
}

// NewCore returns a platform with an empty log.
func NewCore(o Options) *Core {
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.KeepRecords <= 0 {
		o.KeepRecords = DefaultKeepRecords
	}
	return &Core{
		clock:   o.Clock,
		done:    make(chan struct{}),
		options: o,
		changed: make(chan struct{}),
		first:   1,
		next:    1,
		vms:     map[string][]vmVersion{},
		reboots: map[string]bool{},
	}
}

// Close ends waiting calls and discards the appends that are held in the network.
func (c *Core) Close() {
	c.closeOnce.Do(func() { close(c.done) })
	c.heldAppends.Wait()
}

// Append appends a record to the log and returns its offset.
func (c *Core) Append(ctx context.Context, caller Caller, data []byte) (uint64, error) {
	if err := c.awaitReachable(ctx, caller); err != nil {
		return 0, err
	}
	if err := c.sleep(ctx, millis(c.Faults().AppendDelayMillis)); err != nil {
		return 0, err
	}
	data = slices.Clone(data)
	if c.hold(data) {
		return 0, ErrAnswerLost
	}
	offset, lost := c.appendRecord(data)
	if lost {
		return 0, ErrAnswerLost
	}
	if err := c.awaitReachable(ctx, caller); err != nil {
		return 0, err
	}
	return offset, nil
}

// hold reports whether the fault HoldAppends applies to an append. If so, it appends the data after the configured delay.
func (c *Core) hold(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.HoldAppends <= 0 {
		return false
	}
	c.faults.HoldAppends--
	delay := millis(c.faults.HoldMillis)
	c.heldAppends.Go(func() {
		if c.sleep(context.Background(), delay) == nil {
			c.appendRecord(data)
		}
	})
	return true
}

// appendRecord appends a record and reports whether the fault LoseAnswers applies to it.
func (c *Core) appendRecord(data []byte) (offset uint64, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	offset = c.next
	c.next++
	c.records = append(c.records, logclient.Record{Offset: offset, Data: data})
	c.size += len(data)
	c.enforceRetention()
	c.notifyChange()
	if c.faults.LoseAnswers > 0 {
		c.faults.LoseAnswers--
		return offset, true
	}
	return offset, false
}

// SetRetention changes the limits on the number of records and on their size in bytes, and drops the oldest records above them.
func (c *Core) SetRetention(records, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.options.KeepRecords = records
	c.options.KeepBytes = bytes
	c.enforceRetention()
}

func (c *Core) enforceRetention() {
	for len(c.records) > 0 && c.overRetention() {
		c.size -= len(c.records[0].Data)
		c.records = c.records[1:]
		c.first++
	}
}

func (c *Core) overRetention() bool {
	o := c.options
	return len(c.records) > o.KeepRecords || o.KeepBytes > 0 && c.size > o.KeepBytes
}

func (c *Core) notifyChange() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read returns up to limit records, starting at offset from or at the oldest one that is kept. If there are none yet, it waits for up to wait.
func (c *Core) Read(ctx context.Context, caller Caller, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	if err := c.awaitReachable(ctx, caller); err != nil {
		return logclient.Page{}, err
	}
	if err := c.sleep(ctx, millis(c.Faults().ReadDelayMillis)); err != nil {
		return logclient.Page{}, err
	}
	page, err := c.poll(ctx, from, limit, wait)
	if err != nil {
		return logclient.Page{}, err
	}
	if err := c.awaitReachable(ctx, caller); err != nil {
		return logclient.Page{}, err
	}
	return page, nil
}

func (c *Core) poll(ctx context.Context, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	timeout := c.clock.After(max(0, wait))
	for {
		c.mu.Lock()
		page := c.pageFrom(from, limit)
		changed := c.changed
		c.mu.Unlock()
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		case <-c.done:
			return page, ErrClosed
		}
	}
}

func (c *Core) pageFrom(from uint64, limit int) logclient.Page {
	page := logclient.Page{First: c.first, Next: c.next, Records: []logclient.Record{}}
	if limit <= 0 || limit > maxPageRecords {
		limit = maxPageRecords
	}
	size := 0
	for offset := max(from, c.first); offset < c.next && len(page.Records) < limit; offset++ {
		r := c.records[offset-c.first]
		size += len(r.Data)
		if len(page.Records) > 0 && size > maxPageBytes {
			break
		}
		page.Records = append(page.Records, r)
	}
	return page
}

// Client returns a client of the log that acts as caller and doesn't use HTTP.
func (c *Core) Client(caller Caller) logclient.Log { return &coreLog{core: c, caller: caller} }

type coreLog struct {
	core   *Core
	caller Caller
}

func (l *coreLog) Append(ctx context.Context, data []byte) (uint64, error) {
	return l.core.Append(ctx, l.caller, data)
}

func (l *coreLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	return l.core.Read(ctx, l.caller, from, limit, wait)
}
