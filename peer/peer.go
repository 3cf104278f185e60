// Package peer implements the net/rpc protocol between entry VMs: heartbeats, log records and snapshots for VMs that cannot read
// the log, request forwarding and result queries.
package peer

import (
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/logclient"
)

// Status is the state of an entry VM as sent in a heartbeat and in its reply.
type Status struct {
	Incarnation string
	VM          string
	DataCentre  string
	PeerAddress string // address at which the VM's peers call it
	// Offset is the offset of the last log record that the VM has applied.
	Offset uint64
	// LogReadable is set if the VM's own last read of the log succeeded.
	LogReadable bool
	// HeardReadable is the result of keys.View.LogReadableAnywhere: the VM can read the log, or has a recent status of a peer that is ahead of
	// it or has itself read the log within the freshness bound.
	HeardReadable bool
	// ReadAge is the time since the VM last read the log directly to its end.
	ReadAge time.Duration
	// Load holds Running, Waiting and Outstanding as encoded by LoadCodec.Pack for configuration LoadVersion; nil if the heartbeat has no load.
	Load        []byte
	LoadVersion uint64
	// Running is the number of the VM's running tasks by pool and team.
	Running map[string]map[string]int
	// Waiting is the number of the VM's waiting requests by pool and team.
	Waiting map[string]map[string]int
	// Outstanding is the number of the VM's running tasks by backend server.
	Outstanding map[string]int
	// Withdrawn holds the ids of keys that were withdrawn through the operator API and whose withdrawal is not yet in the log.
	Withdrawn []string
}

// RecordsArgs requests up to Limit records, starting at offset From.
type RecordsArgs struct {
	From  uint64
	Limit int
}

// RecordsReply holds the records, or sets NeedSnapshot if the peer no longer keeps them.
type RecordsReply struct {
	Records      []logclient.Record
	NeedSnapshot bool
}

// SnapshotArgs requests the peer's complete state.
type SnapshotArgs struct{}

// SnapshotReply holds the peer's state, encoded by fleet.State.Encode.
type SnapshotReply struct {
	Offset uint64
	State  []byte
}

// AppendArgs holds a record that the sender cannot append directly. The record is a batch with the sender's sequence number, so
// it takes effect once even if it is appended several times.
type AppendArgs struct{ Data []byte }

// AppendReply holds the offset of the record.
type AppendReply struct{ Offset uint64 }

// ForwardArgs holds a request for the entry VM that issued its id. The sender has authenticated the team.
type ForwardArgs struct {
	Queue      string
	Team       string
	KeyID      string // key with which the sender authenticated the team; empty for an open queue
	RequestID  string
	TimeLeft   time.Duration
	Repeatable bool
	Body       []byte
}

// ResultArgs requests the outcome of a team's request.
type ResultArgs struct {
	Team      string
	RequestID string
}

// ResultReply is the outcome of a request. Outcome is pending while it runs.
type ResultReply struct {
	Outcome errkind.Outcome
	Kind    errkind.Kind // empty for done
	Message string
	Body    []byte
}
