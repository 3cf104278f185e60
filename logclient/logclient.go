// Package logclient reads and writes the platform's append-only log. It has an HTTP client, a writer that batches commands and retries
// appends whose answers were lost, and a follower that applies the records to the fold, the deterministic state machine of package fleet.
package logclient

import (
	"context"
	"time"

	"example.org/comfreyrouter/fleet"
)

// Record is one record of the log.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"` // a fleet.Batch in JSON
}

// Page is the answer to a read. Offsets start at 1.
type Page struct {
	First   uint64   `json:"first"` // first offset that the log still keeps
	Next    uint64   `json:"next"`  // offset of the next append
	Records []Record `json:"records"`
}

// Log is the platform's log. After an error of Append, it is unknown whether the record was appended.
type Log interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns up to limit records starting at offset from, and waits up to wait for the first one. If from is before
	// Page.First, the records in between have been deleted and Records starts at First.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}

// Submitter appends commands to the log and waits until the fold has applied them.
type Submitter interface {
	// Submit returns one result for each command. If ctx is done first, it returns an error of kind log_unavailable, and the
	// commands may still take effect later.
	Submit(ctx context.Context, commands ...fleet.Command) ([]fleet.Result, error)
}
