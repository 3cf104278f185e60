// Package ledger holds the state of all jobs, built from the records of one keyed topic of the platform's store. Every node applies the
// same records; only the dispatcher and the nodes that accept calls write them. Each record replaces the previous one with its key, so
// the newest records of all keys make up the whole state.
package ledger

import (
	"encoding/json"
	"strings"

	"github.com/samber/oops"

	"example.org/comfreyrouter/jobs"
)

// Key of the dispatcher record and prefixes of all other keys. What follows a prefix is an id, a name or a number.
const (
	keyDispatcher  = "o"
	prefixJob      = "j/"
	prefixProgress = "p/"
	prefixFinal    = "t/"
	prefixCancel   = "c/"
	prefixServer   = "s/"
	prefixWave     = "w/"
	prefixMachine  = "m/"
	prefixNode     = "n/"
)

// Record is a key with its newest value. A record without a value removes its key.
type Record struct {
	Key   string
	Value []byte
}

// Dispatcher names the node that has the dispatcher role. The node keeps it until it releases it or another node claims it.
type Dispatcher struct {
	Epoch       int64  `json:"e"`
	Node        string `json:"n"`
	Incarnation string `json:"l"`           // identifies one run of the node's process
	Released    bool   `json:"r,omitempty"` // the node has given up the role and gives no more orders
	Start       int64  `json:"s,omitempty"` // start number of the node's process, as in Node
	// Predecessors are the earlier dispatchers that might still have been giving orders when this one claimed the role.
	Predecessors []Predecessor `json:"f,omitempty"`
}

// Predecessor is an earlier dispatcher.
type Predecessor struct {
	Epoch       int64  `json:"e"`
	Node        string `json:"n"`
	Incarnation string `json:"l"`
	Start       int64  `json:"s,omitempty"`
}

// StepProgress records which tasks of a step are done or have failed.
type StepProgress struct {
	Done     []int                `json:"d,omitempty"` // indices of the tasks that are done
	Failures map[int]TaskFailures `json:"f,omitempty"` // by the index of the task
}

// TaskFailures holds the failed runs of a task. The attempts are kept rather than their count, because a server may report the end of a run
// again to a new dispatcher, and the end of an early run may arrive after that of a later one.
type TaskFailures struct {
	Attempts []int64     `json:"a,omitempty"` // numbers of the attempts that failed
	Crashes  []Crash     `json:"c,omitempty"` // attempts that were lost when their server crashed
	Silent   []SilentRun `json:"s,omitempty"` // attempts on servers that may have crashed
}

// SilentRun is an attempt at a task on a server that has fallen silent.
type SilentRun struct {
	Server   string        `json:"s"`
	BornMS   int64         `json:"b"` // start of the server's incarnation, Unix time
	Attempt  int64         `json:"n"`
	Evidence CrashEvidence `json:"e,omitempty"` // what a crash of the server would say about the task
}

// Crash is an attempt at a task that was lost when its server crashed.
type Crash struct {
	Attempt  int64         `json:"n"`
	Evidence CrashEvidence `json:"e,omitempty"`
}

// CrashEvidence says how likely an attempt is the cause of a crash.
type CrashEvidence int

// The kinds of evidence, in ascending order. They are stored as numbers.
const (
	CrashedBeside CrashEvidence = iota // it had survived its start, so another one is more likely
	PossibleCause                      // it is one of several that had just been started
	LikelyCause                        // no other one had just been started
	OnlyCause                          // no other run can be the cause
)

// String returns the label of the evidence in counters.
func (e CrashEvidence) String() string {
	return [...]string{"beside", "possible", "likely", "only"}[e]
}

// OccurrenceProgress records the progress of one occurrence of a job.
type OccurrenceProgress struct {
	Number int            `json:"k"`
	Done   bool           `json:"d,omitempty"`
	Steps  []StepProgress `json:"s,omitempty"`
}

// Progress records how far a job has got.
type Progress struct {
	// MayHaveStarted is the job's start mark: tasks may have been started. It is stored before the first start, so a new dispatcher can start an
	// unmarked job at once, even while some servers don't answer.
	MayHaveStarted bool                 `json:"m,omitempty"`
	Started        bool                 `json:"b,omitempty"` // at least one task has started
	Occurrences    []OccurrenceProgress `json:"o,omitempty"`
}

// FinalState records how and when a job ended.
type FinalState struct {
	Phase   jobs.Phase `json:"p"`
	Route   string     `json:"q"`
	EndedMS int64      `json:"t"` // Unix time
}

// Node is a node's record about itself. The node writes it at each start of its process, periodically, and after it has stopped dispatching.
type Node struct {
	Cores         float64 `json:"c"`
	DataCentre    string  `json:"d,omitempty"`
	Address       string  `json:"p,omitempty"` // at which other nodes reach it; empty if the node relays no orders
	Incarnation   string  `json:"l,omitempty"`
	Start         int64   `json:"s,omitempty"` // increases with each start of the node's process
	EndedEpoch    int64   `json:"e,omitempty"` // newest epoch in which this process was the dispatcher and has stopped giving orders
	Stopping      bool    `json:"x,omitempty"` // this process has been asked to stop
	HandoverEpoch int64   `json:"b,omitempty"` // epoch of a weaker dispatcher that this node asks to hand over the role
	AtMS          int64   `json:"t,omitempty"` // Unix time of the record
	Offset        int64   `json:"-"`           // of the first record of this process
}

// Retired reports whether an earlier dispatcher gives no more orders: its process has recorded so, or its node has started another process since.
func (l *Ledger) Retired(p Predecessor) bool {
	n := l.Nodes[p.Node]
	if n.Incarnation == p.Incarnation {
		return n.EndedEpoch >= p.Epoch
	}
	return n.Start > p.Start
}

// MachineOrder records which dispatcher last gave an order for a machine, and when.
type MachineOrder struct {
	Epoch int64 `json:"e"`
	AtMS  int64 `json:"t"`           // Unix time
	Wave  int64 `json:"w,omitempty"` // number of the wave if the order is one of upkeep; 0 for a move
}

// Server is a backend server to which a dispatcher may have given work.
type Server struct {
	Service string `json:"s"`
	Address string `json:"a"`
	BornMS  int64  `json:"b"`
	Machine string `json:"m,omitempty"`
	// FormerLeasesUntilMS is the Unix time by which all leases have expired that calls for former incarnations may have extended; 0 if they have.
	FormerLeasesUntilMS int64 `json:"l,omitempty"`
	// Removed says that nothing runs on the server, of which only FormerLeasesUntilMS is kept in case it comes back as another incarnation.
	Removed bool `json:"x,omitempty"`
}

// Entry holds the records of one job.
type Entry struct {
	Submission *jobs.Submission // nil after the job's end, or while only other records of the job are known
	Offset     int64            // of the submission's record
	Progress   Progress
	Final      *FinalState
	Cancelled  bool
	// SubmissionStored says that the store has a submission under the job's key. After the job's end that is one whose append took effect late.
	SubmissionStored bool
}

// Phase returns the job's phase as callers see it.
func (e *Entry) Phase() jobs.Phase {
	switch {
	case e.Final != nil:
		return e.Final.Phase
	case e.Cancelled:
		return jobs.Cancelled
	case e.Progress.Started:
		return jobs.Running
	}
	return jobs.Queued
}

// Ledger is the state built from all records.
type Ledger struct {
	Dispatcher       Dispatcher
	DispatcherOffset int64 // of the record that began the current epoch
	Jobs             map[string]*Entry
	Servers          map[string]Server
	Machines         map[string]MachineOrder
	Nodes            map[string]Node
	Waves            map[string][]string // machines whose upkeep has begun, by wave number
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{Jobs: map[string]*Entry{}, Servers: map[string]Server{}, Waves: map[string][]string{}, Machines: map[string]MachineOrder{}, Nodes: map[string]Node{}}
}

// SubmittedJob returns the id of the job whose submission is stored under a key, and reports whether it is such a key.
func SubmittedJob(key string) (id string, ok bool) { return strings.CutPrefix(key, prefixJob) }

// Known reports whether the job was accepted.
func (l *Ledger) Known(id string) bool {
	e := l.Jobs[id]
	return e != nil && (e.Submission != nil || e.Final != nil)
}

// CountQueued counts the accepted jobs of a queue for which no task has started.
func (l *Ledger) CountQueued(route string) int {
	n := 0
	for _, e := range l.Jobs {
		if e.Submission != nil && e.Submission.Route == route && e.Phase() == jobs.Queued {
			n++
		}
	}
	return n
}

// ExpiredJobRecords returns records that remove up to limit jobs which ended before a time. A submission that was stored after the job's end goes first:
// without the final state, it would be a new job for nodes that start.
func (l *Ledger) ExpiredJobRecords(beforeMS int64, limit int) []Record {
	var records []Record
	for id, e := range l.Jobs {
		if len(records) >= limit {
			break
		}
		if e.Final != nil && e.Final.EndedMS < beforeMS {
			if e.SubmissionStored {
				records = append(records, SubmissionRemovedRecord(id))
			}
			records = append(records, JobRemovedRecord(id))
		}
	}
	return records
}

// AbsentNodeRecords returns records that remove the nodes whose last record is older than a time.
func (l *Ledger) AbsentNodeRecords(beforeMS int64) []Record {
	var records []Record
	for name, n := range l.Nodes {
		if n.AtMS > 0 && n.AtMS < beforeMS {
			records = append(records, NodeRemovedRecord(name))
		}
	}
	return records
}

// Keys returns about how many keys the state has: one for each entry, and two more for each job that has not ended.
func (l *Ledger) Keys() int {
	return len(l.Jobs) + 2*l.CountOpen() + len(l.Servers) + len(l.Machines) + len(l.Nodes) + len(l.Waves)
}

// CountOpen counts the accepted jobs that have not ended.
func (l *Ledger) CountOpen() int {
	n := 0
	for _, e := range l.Jobs {
		if e.Submission != nil && e.Final == nil {
			n++
		}
	}
	return n
}

// Change says what applying a record has changed.
type Change int

// The kinds of changes.
const (
	NoChange Change = iota
	JobAdded
	JobCancelled
	DispatcherChanged
	MachineOrdered
	ServerChanged
	OtherChange
)

// Apply applies a record, and returns what has changed and the id in the record's key.
func (l *Ledger) Apply(r Record, offset int64) (Change, string, error) {
	if r.Key == keyDispatcher {
		return l.applyDispatcher(r, offset)
	}
	prefix, id, ok := strings.Cut(r.Key, "/")
	if !ok {
		return NoChange, "", oops.Errorf("key %q has no prefix", r.Key)
	}
	change, err := l.applyKeyed(prefix+"/", id, r.Value, offset)
	return change, id, err
}

// applyDispatcher accepts only the first claim of each epoch, so that of two nodes that claim the same epoch only one becomes the dispatcher.
func (l *Ledger) applyDispatcher(r Record, offset int64) (Change, string, error) {
	var d Dispatcher
	if err := json.Unmarshal(r.Value, &d); err != nil {
		return NoChange, "", oops.Wrapf(err, "decode dispatcher record")
	}
	if d.Epoch < l.Dispatcher.Epoch || (d.Epoch == l.Dispatcher.Epoch && d.Incarnation != l.Dispatcher.Incarnation) {
		return NoChange, "", nil
	}
	changed := d.Epoch > l.Dispatcher.Epoch
	l.Dispatcher = d
	if changed {
		l.DispatcherOffset = offset
		return DispatcherChanged, "", nil
	}
	return OtherChange, "", nil
}

func (l *Ledger) applyKeyed(prefix, id string, value []byte, offset int64) (Change, error) {
	switch prefix {
	case prefixJob:
		return l.applyJob(id, value, offset)
	case prefixProgress:
		return l.applyProgress(id, value)
	case prefixFinal:
		return l.applyFinal(id, value)
	case prefixCancel:
		if len(value) == 0 {
			return OtherChange, nil
		}
		e := l.entry(id)
		if e.Cancelled || e.Final != nil {
			return NoChange, nil
		}
		e.Cancelled = true
		return JobCancelled, nil
	case prefixServer:
		return l.applyServer(id, value)
	case prefixNode:
		return l.applyNode(id, value, offset)
	case prefixMachine:
		return l.applyMachine(id, value)
	case prefixWave:
		return l.applyWave(id, value)
	}
	return NoChange, oops.Errorf("unknown key prefix %q", prefix)
}

func (l *Ledger) entry(id string) *Entry {
	e := l.Jobs[id]
	if e == nil {
		e = &Entry{}
		l.Jobs[id] = e
	}
	return e
}

// applyJob ignores a repeated submission, also after the job's end.
func (l *Ledger) applyJob(id string, value []byte, offset int64) (Change, error) {
	if len(value) == 0 {
		if e := l.Jobs[id]; e != nil {
			e.Submission, e.SubmissionStored = nil, false
		}
		return OtherChange, nil
	}
	e := l.entry(id)
	e.SubmissionStored = true
	if e.Submission != nil || e.Final != nil {
		return NoChange, nil
	}
	var s jobs.Submission
	if err := json.Unmarshal(value, &s); err != nil {
		return NoChange, oops.Wrapf(err, "decode submission of job %s", id)
	}
	e.Submission, e.Offset = &s, offset
	return JobAdded, nil
}

func (l *Ledger) applyProgress(id string, value []byte) (Change, error) {
	if len(value) == 0 {
		return OtherChange, nil
	}
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return NoChange, oops.Wrapf(err, "decode progress of job %s", id)
	}
	l.entry(id).Progress = p
	return OtherChange, nil
}

func (l *Ledger) applyFinal(id string, value []byte) (Change, error) {
	if len(value) == 0 {
		delete(l.Jobs, id)
		return OtherChange, nil
	}
	var f FinalState
	if err := json.Unmarshal(value, &f); err != nil {
		return NoChange, oops.Wrapf(err, "decode final state of job %s", id)
	}
	e := l.entry(id)
	e.Final, e.Submission, e.Progress = &f, nil, Progress{}
	return OtherChange, nil
}

func (l *Ledger) applyServer(id string, value []byte) (Change, error) {
	if len(value) == 0 {
		delete(l.Servers, id)
		return ServerChanged, nil
	}
	var s Server
	if err := json.Unmarshal(value, &s); err != nil {
		return NoChange, oops.Wrapf(err, "decode record of server %s", id)
	}
	l.Servers[id] = s
	return ServerChanged, nil
}

// applyNode ignores a record of an earlier process of the node, whose append may have taken effect late.
func (l *Ledger) applyNode(name string, value []byte, offset int64) (Change, error) {
	if len(value) == 0 {
		delete(l.Nodes, name)
		return OtherChange, nil
	}
	var n Node
	if err := json.Unmarshal(value, &n); err != nil {
		return NoChange, oops.Wrapf(err, "decode record of node %s", name)
	}
	known, exists := l.Nodes[name]
	n.Offset = offset
	if exists && n.Incarnation == known.Incarnation {
		n.Offset = known.Offset
		n.EndedEpoch, n.HandoverEpoch, n.AtMS = max(n.EndedEpoch, known.EndedEpoch), max(n.HandoverEpoch, known.HandoverEpoch), max(n.AtMS, known.AtMS)
		n.Stopping = n.Stopping || known.Stopping
	} else if exists && n.Start < known.Start {
		return NoChange, nil
	}
	l.Nodes[name] = n
	return OtherChange, nil
}

func (l *Ledger) applyMachine(id string, value []byte) (Change, error) {
	var o MachineOrder
	if err := json.Unmarshal(value, &o); err != nil {
		return NoChange, oops.Wrapf(err, "decode order for machine %s", id)
	}
	l.Machines[id] = o
	return MachineOrdered, nil
}

func (l *Ledger) applyWave(number string, value []byte) (Change, error) {
	var machines []string
	if err := json.Unmarshal(value, &machines); err != nil {
		return NoChange, oops.Wrapf(err, "decode machines of wave %s", number)
	}
	l.Waves[number] = machines
	return OtherChange, nil
}
