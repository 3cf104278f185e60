package fleet

import (
	"sync"
	"sync/atomic"
)

// Applied tells what became of one batch.
type Applied struct {
	Offset  uint64
	Batch   Batch
	Results []Result // nil for a batch that had been applied before
}

// Store guards a State for concurrent use. Its offset never goes back.
type Store struct {
	mu      sync.RWMutex
	state   *State
	config  atomic.Pointer[Config]
	changed chan struct{}
	hooks   []func(Applied)
	jumps   []func(*State)
}

// NewStore returns a store that holds the state before the first record.
func NewStore() *Store {
	s := &Store{state: NewState(), changed: make(chan struct{})}
	s.config.Store(s.state.Config)
	return s
}

// OnApplied registers a function that is called after each batch, in log order and without the lock. Register before use.
func (s *Store) OnApplied(fn func(Applied)) { s.hooks = append(s.hooks, fn) }

// OnInstalled registers a function that is called after each Install, without the lock. The batches up to the state's offset
// that were not applied before will not be reported by OnApplied. fn must neither keep nor change the state. Register before
// use.
func (s *Store) OnInstalled(fn func(*State)) { s.jumps = append(s.jumps, fn) }

// Apply folds a batch. Calls of Apply and Install must come from one goroutine at a time.
func (s *Store) Apply(offset uint64, b Batch) {
	s.mu.Lock()
	results := s.state.Apply(offset, b)
	s.publish()
	s.mu.Unlock()
	for _, fn := range s.hooks {
		fn(Applied{Offset: offset, Batch: b, Results: results})
	}
}

// Install replaces the state by a later one, such as a snapshot. It reports false and changes nothing if next is not later.
func (s *Store) Install(next *State) bool {
	if !s.replace(next) {
		return false
	}
	for _, fn := range s.jumps {
		fn(next)
	}
	return true
}

func (s *Store) replace(next *State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Offset <= s.state.Offset {
		return false
	}
	s.state = next
	s.publish()
	return true
}

func (s *Store) publish() {
	s.config.Store(s.state.Config)
	close(s.changed)
	s.changed = make(chan struct{})
}

// View calls fn with the state under a read lock. fn must neither keep nor change it.
func (s *Store) View(fn func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	fn(s.state)
}

// Copy returns a copy of the state that the caller may keep.
func (s *Store) Copy() *State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Copy()
}

// Config returns the configuration in force. It is immutable.
func (s *Store) Config() *Config { return s.config.Load() }

// Offset returns the offset of the last batch applied.
func (s *Store) Offset() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.state.Offset
}

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}
