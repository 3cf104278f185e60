package jobnode

import (
	"github.com/rs/zerolog"

	"example.org/comfreyrouter/dispatch"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/platform"
)

// entries takes the entries of the platform's list of servers.
type entries struct {
	log        zerolog.Logger
	known      map[string]bool
	unreadable map[string]bool // logged already
}

func newEntries(log zerolog.Logger) *entries {
	return &entries{log, map[string]bool{}, map[string]bool{}}
}

// take takes entries in their order. An entry that can't be read names no server to use; the others hold.
func (e *entries) take(c *dispatch.Core, records []platform.Record) {
	for _, r := range records {
		info, ok := platform.DecodeServer(r.Key, r.Value)
		if ok {
			e.known[r.Key] = true
			c.ServerListed(info)
			continue
		}
		if len(r.Value) > 0 && !e.unreadable[r.Key] {
			e.unreadable[r.Key] = true
			events.Log(e.log, events.EntryUnreadable, r.Key)
		}
		if e.known[r.Key] {
			delete(e.known, r.Key)
			c.ServerUnlisted(r.Key)
		}
	}
}
