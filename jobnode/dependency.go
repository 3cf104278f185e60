package jobnode

import (
	"context"
	"errors"
	"sync"

	"github.com/rs/zerolog"

	"example.org/comfreyrouter/events"
)

// dependencyLog logs when a dependency of this node is lost and when it is back, one line each, however many calls fail in between.
type dependencyLog struct {
	name string
	log  zerolog.Logger

	mu   sync.Mutex
	lost bool
}

// report records the outcome of a call. A call that was cancelled because the node stops is ignored.
func (l *dependencyLog) report(err error) {
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
