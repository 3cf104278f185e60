// Package logclient reads and writes the platform's append-only log: an HTTP client, a writer that batches commands and
// repeats appends whose answers were lost, and a follower that feeds the fold.
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

// Page is an answer to a read. Offsets start at 1.
type Page struct {
	First   uint64   `json:"first"` // first offset that is still kept
	Next    uint64   `json:"next"`  // offset that the next append will get
	Records []Record `json:"records"`
}

// Log is the platform's log. An error of Append does not tell whether the record was appended.
type Log interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	// Read returns up to limit records from offset from on, and waits for the first one for up to wait. If from is before
	// Page.First, the records in between are gone and Records starts at First.
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Page, error)
}

// Submitter puts commands into the log and waits until they are folded.
type Submitter interface {
	// Submit returns one result for each command. If ctx ends first it returns an error of kind log_unavailable, and the
	// commands may still take effect later.
	Submit(ctx context.Context, commands ...fleet.Command) ([]fleet.Result, error)
}
