// Package foldlog is a stand-in for the platform's log and the loops around it: a submitter that folds commands into a
// store at once. It serves tests only.
package foldlog

import (
	"context"
	"sync"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Log implements logclient.Submitter for one entry VM, which has joined.
type Log struct {
	Store *fleet.Store

	mu      sync.Mutex
	offset  uint64
	results []fleet.Result
	down    bool
	losses  int
	before  func()
}

// New returns a log whose only record is the join of an entry VM.
func New() *Log {
	l := &Log{Store: fleet.NewStore()}
	l.Store.OnApplied(func(a fleet.Applied) { l.results = a.Results })
	l.fold(fleet.Command{Join: &fleet.Join{VM: "entry-1"}})
	return l
}

// SetDown says whether the log takes anything.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// LoseAnswers makes the next n submissions take effect without an answer.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.losses = n
}

// OnSubmit registers a function that is called before each submission; nil for none.
func (l *Log) OnSubmit(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.before = fn
}

// Submit folds the commands at once.
func (l *Log) Submit(_ context.Context, commands ...fleet.Command) ([]fleet.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.before != nil {
		l.before()
	}
	if l.down {
		return nil, errkind.New(errkind.LogUnavailable, "the log is down")
	}
	results := l.fold(commands...)
	if l.losses > 0 {
		l.losses--
		return nil, errkind.New(errkind.LogUnavailable, "the answer was lost")
	}
	return results, nil
}

func (l *Log) fold(commands ...fleet.Command) []fleet.Result {
	l.offset++
	l.Store.Apply(l.offset, fleet.Batch{Writer: "w", Seq: l.offset, Commands: commands})
	return l.results
}
