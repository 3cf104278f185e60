package jobnode

import (
	"github.com/rs/zerolog"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/platform"
)

// serverList applies the entries of the platform's list of servers to the core.
type serverList struct {
	log        zerolog.Logger
	listed     map[string]bool
	unreadable map[string]bool // already logged
}

func newServerList(log zerolog.Logger) *serverList {
	return &serverList{log, map[string]bool{}, map[string]bool{}}
}

// applyRecords applies entries in their order. A server with a malformed entry isn't used; the other entries still count.
func (l *serverList) applyRecords(c *dispatch.Core, records []platform.Record) {
	for _, r := range records {
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
