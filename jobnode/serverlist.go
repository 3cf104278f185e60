package jobnode

import (
	"slices"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/platform"
)

// serverList applies the entries of the platform's list of servers to the core.
type serverList struct {
	log        zerolog.Logger
	listed     map[string]bool
	unreadable map[string]bool  // already logged
	offsets    map[string]int64 // of the newest entry of each server
}

func newServerList(log zerolog.Logger) *serverList {
	return &serverList{log, map[string]bool{}, map[string]bool{}, map[string]int64{}}
}

// restore applies the newest entry of each server. A server without one isn't listed any more: the removal of its entry wasn't read.
func (l *serverList) restore(c *dispatch.Core, records []platform.Record) {
	l.applyRecords(c, records)
	for id := range l.listed {
		if !slices.ContainsFunc(records, func(r platform.Record) bool { return r.Key == id }) {
			delete(l.listed, id)
			c.ServerUnlisted(id)
		}
	}
}

// applyRecords applies entries in their order, without those that are older than a known one of the same server. A server with a malformed entry isn't used;
// the other entries still count.
func (l *serverList) applyRecords(c *dispatch.Core, records []platform.Record) {
	for _, r := range records {
		if newer, known := l.offsets[r.Key]; known && newer > r.Offset {
			continue
		}
		l.offsets[r.Key] = r.Offset
		info, ok := platform.DecodeServer(r.Key, r.Value)
		if ok {
			l.listed[r.Key] = true
			c.ServerListed(info)
			continue
		}
		if len(r.Value) > 0 && !l.unreadable[r.Key] {
			l.unreadable[r.Key] = true
			events.Log(l.log, events.EntryUnreadable, r.Key)
		}
		if l.listed[r.Key] {
			delete(l.listed, r.Key)
			c.ServerUnlisted(r.Key)
		}
	}
}
