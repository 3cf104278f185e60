// Package peer is the net/rpc protocol between entry VMs: heartbeats, records and snapshots for VMs that cannot read the log,
// forwarded requests and questions about results.
package peer

import (
	"time"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/logclient"
)

// Status is what an entry VM tells its peers in a heartbeat and in the answer to one.
type Status struct {
	Incarnation string
	VM          string
	DataCentre  string
	PeerAddress string
	// Offset is the VM's offset in the log.
	Offset uint64
	// LogReadable is set if the VM's own last read of the log succeeded.
	LogReadable bool
	// HeardReadable is set if a peer from which the VM heard within the freshness bound could read the log by itself.
	HeardReadable bool
	// ReadAge is how long ago the VM last read the log to its end by itself.
	ReadAge time.Duration
	// Load has the three following fields in the form of LoadCodec.Pack, for configuration LoadVersion; nil if the heartbeat carries none.
	Load        []byte
	LoadVersion uint64
	// Running is the number of the VM's running tasks by pool and team.
	Running map[string]map[string]int
	// Waiting is the number of the VM's waiting requests by pool and team.
	Waiting map[string]map[string]int
	// Outstanding is the number of the VM's running tasks by backend server.
	Outstanding map[string]int
	// Withdrawn has the ids of keys withdrawn at an operators' interface that are not yet in the log.
	Withdrawn []string
}

// RecordsArgs asks for records from offset From on.
type RecordsArgs struct {
	From  uint64
	Limit int
}

// RecordsReply has the records, or NeedSnapshot if the peer no longer keeps them.
type RecordsReply struct {
	Records      []logclient.Record
	NeedSnapshot bool
}

// SnapshotArgs asks for the peer's whole state.
type SnapshotArgs struct{}

// SnapshotReply has the peer's state, encoded by fleet.State.Encode.
type SnapshotReply struct {
	Offset uint64
	State  []byte
}

// AppendArgs is a record that the sender cannot append by itself. It is a batch with the sender's sequence number, so it has its
// effect once however often it is appended.
type AppendArgs struct{ Data []byte }

// AppendReply has the offset of the record.
type AppendReply struct{ Offset uint64 }

// ForwardArgs is a request for the entry VM that issued its id. The sender has authenticated the team.
type ForwardArgs struct {
	Queue      string
	Team       string
	KeyID      string // of the key with which the sender authenticated the team, empty for an open queue
	RequestID  string
	TimeLeft   time.Duration
	Repeatable bool
	Body       []byte
}

// ResultArgs asks what became of a team's request id.
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
