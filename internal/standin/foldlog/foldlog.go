// Package foldlog is a stand-in for the platform's log, its submitter and its follower: submitted commands are folded into a store at once. Only
// tests use it.
package foldlog

import (
	"context"
	"sync"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/fleet"
)

// Log implements logclient.Submitter for a single entry VM, entry-1, which has joined the fleet.
type Log struct {
	Store *fleet.Store

	mu            sync.Mutex
	offset        uint64
	results       []fleet.Result
	unavailable   bool
	answersToLose int
	onSubmit      func()
}

// New returns a log whose only record is the join of entry-1.
func New() *Log {
	l := &Log{Store: fleet.NewStore()}
	l.Store.OnApplied(func(a fleet.Applied) { l.results = a.Results })
	l.fold(fleet.Command{Join: &fleet.Join{VM: "entry-1"}})
	return l
}

// SetDown makes the log unavailable or available again. While it is unavailable, submissions fail without effect.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = down
}

// LoseAnswers makes the next n submissions take effect but fail, as if their answers were lost.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answersToLose = n
}

// OnSubmit sets a function that is called at the start of each submission, or none if fn is nil.
func (l *Log) OnSubmit(fn func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onSubmit = fn
}

// Submit folds the commands into the store and returns their results.
func (l *Log) Submit(_ context.Context, commands ...fleet.Command) ([]fleet.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.onSubmit != nil {
		l.onSubmit()
	}
	if l.unavailable {
		return nil, errkind.New(errkind.LogUnavailable, "the log is down")
	}
	results := l.fold(commands...)
	if l.answersToLose > 0 {
		l.answersToLose--
		return nil, errkind.New(errkind.LogUnavailable, "the answer was lost")
	}
	return results, nil
}

func (l *Log) fold(commands ...fleet.Command) []fleet.Result {
	l.offset++
	l.Store.Apply(l.offset, fleet.Batch{Writer: "w", Seq: l.offset, Commands: commands})
	return l.results
}
