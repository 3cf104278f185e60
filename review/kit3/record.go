package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since its begin.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	begun time.Time
}

func newRecord(out io.Writer) *record { return &record{out: out, begun: time.Now()} }

// now returns the time since the begin.
func (r *record) now() time.Duration { return time.Since(r.begun) }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}
