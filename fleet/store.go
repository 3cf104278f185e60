package fleet

import (
	"sync"
	"sync/atomic"
)

// Applied describes a batch that was read from the log, and its results.
type Applied struct {
	Offset  uint64
	Batch   Batch
	Results []Result // nil for a batch that was applied before
}

// Store guards a State for concurrent use. Its offset never decreases.
type Store struct {
	mu             sync.RWMutex
	state          *State
	config         atomic.Pointer[Config]
	changed        chan struct{}
	appliedHooks   []func(Applied)
	installedHooks []func(*State)
}

// NewStore returns a store that holds the state before the first record.
func NewStore() *Store {
	s := &Store{state: NewState(), changed: make(chan struct{})}
	s.config.Store(s.state.Config)
	return s
}

// OnApplied registers a function that is called after each batch, in log order and without the lock held. It must be called before
// the store is in use.
func (s *Store) OnApplied(fn func(Applied)) { s.appliedHooks = append(s.appliedHooks, fn) }

// OnInstalled registers a function that is called after each successful Install, without the lock held. Batches up to the
// installed state's offset that were not applied before are never reported through OnApplied. fn must neither retain nor
// modify the state. OnInstalled must be called before the store is in use.
func (s *Store) OnInstalled(fn func(*State)) { s.installedHooks = append(s.installedHooks, fn) }

// Apply folds a batch into the state. Apply and Install must not be called concurrently.
func (s *Store) Apply(offset uint64, b Batch) {
	s.mu.Lock()
	results := s.state.Apply(offset, b)
	s.publish()
	s.mu.Unlock()
	for _, fn := range s.appliedHooks {
		fn(Applied{Offset: offset, Batch: b, Results: results})
	}
}

// Install replaces the state with a later one, such as a snapshot. If next is not later, it changes nothing and returns false.
func (s *Store) Install(next *State) bool {
	if !s.replace(next) {
		return false
	}
	for _, fn := range s.installedHooks {
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

// View calls fn with the state under a read lock. fn must neither retain nor modify it.
func (s *Store) View(fn func(*State)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	fn(s.state)
}

// Copy returns a copy of the state that the caller may retain.
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
