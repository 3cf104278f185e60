// Package ledger is the state of all jobs, folded from the records of one keyed topic of the platform's store. Every node folds the
// same records; only the dispatcher and the nodes that accept calls write them. Each record replaces the one before of its key, so
// the newest record of each key is the whole state.
package ledger

import (
	"encoding/json"
	"strings"

	"github.com/samber/oops"

	"example.org/comfreyrouter/jobs"
)

// Prefixes of the keys. The rest of a key is an id.
const (
	keyDispatcher = "o"
	prefixJob     = "j/"
	prefixState   = "p/"
	prefixFinal   = "t/"
	prefixCancel  = "c/"
	prefixServer  = "s/"
	prefixWave    = "w/"
	prefixMachine = "m/"
	prefixNode    = "n/"
)

// Record is a key with its newest value. A record without a value drops its key.
type Record struct {
	Key   string
	Value []byte
}

// Dispatcher says which node decides, and until it says otherwise keeps deciding.
type Dispatcher struct {
	Epoch       int64  `json:"e"`
	Node        string `json:"n"`
	Incarnation string `json:"l"`           // one life of the node's process
	Released    bool   `json:"r,omitempty"` // it gives no more orders
	Start       int64  `json:"s,omitempty"` // number of the start of the node's process, as in Node
	// Predecessors are the earlier dispatchers that may still have given orders when this one claimed its place.
	Predecessors []Predecessor `json:"f,omitempty"`
}

// Predecessor is an earlier dispatcher.
type Predecessor struct {
	Epoch       int64  `json:"e"`
	Node        string `json:"n"`
	Incarnation string `json:"l"`
	Start       int64  `json:"s,omitempty"`
}

// StepProgress is what has been achieved of one step.
type StepProgress struct {
	Done     []int                `json:"d,omitempty"` // indices of the tasks that are done
	Failures map[int]TaskFailures `json:"f,omitempty"` // by the index of the task
}

// TaskFailures holds the failed runs of a task. A server may list the end of a run again to a new dispatcher, and the end of an early run may
// come after that of a later one, so the attempts are kept, not their number.
type TaskFailures struct {
	Attempts []int64 `json:"a"`
}

// OccurrenceProgress is what has been achieved of one occurrence of a job.
type OccurrenceProgress struct {
	Number int            `json:"k"`
	Done   bool           `json:"d,omitempty"`
	Steps  []StepProgress `json:"s,omitempty"`
}

// Progress is what has been achieved of a job.
type Progress struct {
	// MayHaveStarted says that tasks may have been started. It is stored before the first start, so that a new dispatcher can start jobs without it
	// at once, whatever runs on servers that don't answer.
	MayHaveStarted bool                 `json:"m,omitempty"`
	Started        bool                 `json:"b,omitempty"` // a task has started
	Occurrences    []OccurrenceProgress `json:"o,omitempty"`
}

// FinalState is the end of a job.
type FinalState struct {
	Phase   jobs.Phase `json:"p"`
	Route   string     `json:"q"`
	EndedMS int64      `json:"t"` // Unix time
}

// Node is what a node says of itself, at each start of its process, from time to time, and when it has stopped dispatching.
type Node struct {
	Cores         float64 `json:"c"`
	DataCentre    string  `json:"d,omitempty"`
	Address       string  `json:"p,omitempty"` // for other nodes; empty if the node carries no orders
	Incarnation   string  `json:"l,omitempty"`
	Start         int64   `json:"s,omitempty"` // rises with each start of the node's process
	EndedEpoch    int64   `json:"e,omitempty"` // newest epoch in which this process gives no more orders
	Stopping      bool    `json:"x,omitempty"` // this process has been asked to stop
	HandoverEpoch int64   `json:"b,omitempty"` // epoch of a weaker dispatcher that it asks to give its place up
	AtMS          int64   `json:"t,omitempty"` // Unix time
	Offset        int64   `json:"-"`           // of the first record of this start
}

// Retired reports whether an earlier dispatcher gives no more orders: its process has said so, or its node has started another process since.
func (l *Ledger) Retired(f Predecessor) bool {
	n := l.Nodes[f.Node]
	if n.Incarnation == f.Incarnation {
		return n.EndedEpoch >= f.Epoch
	}
	return n.Start > f.Start
}

// MachineOrder says who ordered a machine last, and when.
type MachineOrder struct {
	Epoch int64 `json:"e"`
	AtMS  int64 `json:"t"` // Unix time
}

// Server is a backend server that a dispatcher may have given work to.
type Server struct {
	Service string `json:"s"`
	Address string `json:"a"`
	BornMS  int64  `json:"b"`
	Machine string `json:"m,omitempty"`
}

// Entry is what is known of one job.
type Entry struct {
	Submission *jobs.Submission // nil after the end, or when only later records are known
	Offset     int64            // of the submission
	Progress   Progress
	Final      *FinalState
	Cancelled  bool
}

// Phase returns the state that callers see.
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

// Ledger is the folded state.
type Ledger struct {
	Dispatcher       Dispatcher
	DispatcherOffset int64
	Jobs             map[string]*Entry
	Servers          map[string]Server
	Machines         map[string]MachineOrder
	Nodes            map[string]Node
	Waves            map[string][]string // machines that have begun their upkeep, by the number of the wave
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{Jobs: map[string]*Entry{}, Servers: map[string]Server{}, Waves: map[string][]string{}, Machines: map[string]MachineOrder{}, Nodes: map[string]Node{}}
}

// SubmittedJob returns the job that a record with a key submits.
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

// ExpiredJobRecords returns records that drop jobs which ended before a time, a bounded number at once.
func (l *Ledger) ExpiredJobRecords(beforeMS int64, most int) []Record {
	var records []Record
	for id, e := range l.Jobs {
		if len(records) >= most {
			break
		}
		if e.Final != nil && e.Final.EndedMS < beforeMS {
			records = append(records, JobRemovedRecord(id))
		}
	}
	return records
}

// AbsentNodeRecords returns records that drop the nodes which have said nothing since a time.
func (l *Ledger) AbsentNodeRecords(beforeMS int64) []Record {
	var records []Record
	for name, n := range l.Nodes {
		if n.AtMS > 0 && n.AtMS < beforeMS {
			records = append(records, NodeRemovedRecord(name))
		}
	}
	return records
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

// Change says what a record has changed.
type Change int

// The kinds of changes.
const (
	NoChange Change = iota
	JobAdded
	JobCancelled
	DispatcherChanged
	MachineOrdered
	OtherChange
)

// Apply folds a record and returns what has changed, and the id that its key names.
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

// applyDispatcher takes the first claim of each epoch, so that of two nodes that claim one epoch only one becomes the dispatcher.
func (l *Ledger) applyDispatcher(r Record, offset int64) (Change, string, error) {
	var d Dispatcher
	if err := json.Unmarshal(r.Value, &d); err != nil {
		return NoChange, "", oops.Wrapf(err, "record of the dispatcher")
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
	case prefixState:
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
	return NoChange, oops.Errorf("prefix %q is not known", prefix)
}

func (l *Ledger) entry(id string) *Entry {
	e := l.Jobs[id]
	if e == nil {
		e = &Entry{}
		l.Jobs[id] = e
	}
	return e
}

// applyJob ignores a submission that comes again, also one that comes after the job's end.
func (l *Ledger) applyJob(id string, value []byte, offset int64) (Change, error) {
	if len(value) == 0 {
		if e := l.Jobs[id]; e != nil {
			e.Submission = nil
		}
		return OtherChange, nil
	}
	e := l.entry(id)
	if e.Submission != nil || e.Final != nil {
		return NoChange, nil
	}
	var s jobs.Submission
	if err := json.Unmarshal(value, &s); err != nil {
		return NoChange, oops.Wrapf(err, "submission %s", id)
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
		return NoChange, oops.Wrapf(err, "progress of %s", id)
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
		return NoChange, oops.Wrapf(err, "end of %s", id)
	}
	e := l.entry(id)
	e.Final, e.Submission, e.Progress = &f, nil, Progress{}
	return OtherChange, nil
}

func (l *Ledger) applyServer(id string, value []byte) (Change, error) {
	if len(value) == 0 {
		delete(l.Servers, id)
		return OtherChange, nil
	}
	var s Server
	if err := json.Unmarshal(value, &s); err != nil {
		return NoChange, oops.Wrapf(err, "server %s", id)
	}
	l.Servers[id] = s
	return OtherChange, nil
}

// applyNode ignores a record of an earlier start, which the store may carry out late.
func (l *Ledger) applyNode(name string, value []byte, offset int64) (Change, error) {
	if len(value) == 0 {
		delete(l.Nodes, name)
		return OtherChange, nil
	}
	var n Node
	if err := json.Unmarshal(value, &n); err != nil {
		return NoChange, oops.Wrapf(err, "node %s", name)
	}
	old, there := l.Nodes[name]
	n.Offset = offset
	if there && n.Incarnation == old.Incarnation {
		n.Offset = old.Offset
		n.EndedEpoch, n.HandoverEpoch, n.AtMS = max(n.EndedEpoch, old.EndedEpoch), max(n.HandoverEpoch, old.HandoverEpoch), max(n.AtMS, old.AtMS)
		n.Stopping = n.Stopping || old.Stopping
	} else if there && n.Start < old.Start {
		return NoChange, nil
	}
	l.Nodes[name] = n
	return OtherChange, nil
}

func (l *Ledger) applyMachine(id string, value []byte) (Change, error) {
	var o MachineOrder
	if err := json.Unmarshal(value, &o); err != nil {
		return NoChange, oops.Wrapf(err, "machine %s", id)
	}
	l.Machines[id] = o
	return MachineOrdered, nil
}

func (l *Ledger) applyWave(number string, value []byte) (Change, error) {
	var machines []string
	if err := json.Unmarshal(value, &machines); err != nil {
		return NoChange, oops.Wrapf(err, "wave %s", number)
	}
	l.Waves[number] = machines
	return OtherChange, nil
}
