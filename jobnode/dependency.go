package jobnode

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
)

// link logs when something that a node depends on is lost and when it is back, one line each, however many calls fail meanwhile.
type link struct {
	name string
	log  zerolog.Logger

	mu   sync.Mutex
	lost bool
}

// report takes the outcome of a call. A call that was ended because the node stops says nothing.
func (l *link) report(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && !l.lost:
		l.lost = true
		events.Log(l.log, events.DependencyLost, l.name, err)
	case err == nil && l.lost:
		l.lost = false
		events.Log(l.log, events.DependencyBack, l.name)
	}
}
