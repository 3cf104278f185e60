// Package events holds the closed list of numbered log events. docs/events.md is the catalogue; a test compares both.
package events

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"
)

// Event is one kind of numbered log line.
type Event struct {
	Number int
	Level  zerolog.Level
	Text   string
	Fields []string // names of its fields, in the order in which Log takes their values
	Action string   // what an operator does about it
}

// The events. A number is never reused for another meaning.
var (
	Started              = Event{1001, zerolog.InfoLevel, "entry VM started", []string{"vm", "data_centre", "incarnation", "caller_address", "operator_address", "peer_address"}, "nothing"}
	Ready                = Event{1002, zerolog.InfoLevel, "entry VM ready", []string{"offset"}, "nothing"}
	Draining             = Event{1003, zerolog.InfoLevel, "entry VM shutting down, finishing its requests", []string{"running"}, "nothing"}
	Stopped              = Event{1004, zerolog.InfoLevel, "entry VM stopped", nil, "nothing"}
	ShutdownTimedOut     = Event{1005, zerolog.ErrorLevel, "requests were still running at the end of the drain timeout", []string{"running"}, "raise drain_timeout above the longest run time of a task"}
	FatalError           = Event{1006, zerolog.ErrorLevel, "entry VM ended with an error", []string{"error"}, "read the error; the VM can be started again at any time"}
	SelfFenced           = Event{1007, zerolog.ErrorLevel, "this incarnation was fenced", []string{"incarnation"}, "start the process again; check that no second process runs with the same name"}
	LogUnreadable        = Event{2001, zerolog.WarnLevel, "platform log cannot be read", []string{"error"}, "see docs/operators.md, the platform's log is down"}
	LogReadable          = Event{2002, zerolog.InfoLevel, "platform log can be read again", []string{"offset"}, "nothing"}
	SettingsChanged      = Event{1008, zerolog.InfoLevel, "a change of the settings file was signalled; it takes effect at the next start", []string{"file", "error"}, "if there is an error, fix the file before the next start"}
	DispatcherClaimed    = Event{7001, zerolog.InfoLevel, "dispatcher role claimed", []string{"epoch", "error"}, "nothing; if it repeats within seconds, check the store"}
	DispatcherStarted    = Event{7002, zerolog.InfoLevel, "this node is now the dispatcher", []string{"epoch", "jobs"}, "nothing"}
	DispatcherStopped    = Event{7003, zerolog.InfoLevel, "this node is no longer the dispatcher", []string{"epoch"}, "nothing"}
	DispatcherFenced     = Event{7004, zerolog.WarnLevel, "this dispatcher was fenced by the store", []string{"epoch", "error"}, "nothing; another node has taken over"}
	OrderFenced          = Event{7005, zerolog.WarnLevel, "this dispatcher was fenced by a backend server", []string{"server", "epoch"}, "nothing; another node has taken over"}
	StartRefused         = Event{7006, zerolog.InfoLevel, "a task was not started", []string{"task", "server", "answer"}, "nothing; it is started elsewhere"}
	ServerProblem        = Event{7007, zerolog.InfoLevel, "runs on a server were abandoned, or the server gets no new tasks for a while", []string{"server", "reason", "runs", "report_age_s"}, "nothing; if the reason is server_held and repeats, check the server"}
	DispatchState        = Event{7008, zerolog.InfoLevel, "state of the dispatcher", []string{"long_running", "started", "on_time", "over_share", "late", "runs", "servers", "counts"}, "if late keeps growing, the pools are too small"}
	DispatcherHandedOver = Event{7009, zerolog.InfoLevel, "this node hands the dispatcher role over to a stronger node", []string{"epoch"}, "nothing; if it repeats, find out why stronger nodes don't claim first"}
	EpochRaised          = Event{7010, zerolog.InfoLevel, "this dispatcher has claimed a higher epoch, because a backend server has restarted", []string{"epoch"}, "nothing; if it repeats, find out why servers restart"}
	JobStored            = Event{7011, zerolog.InfoLevel, "job accepted and stored", []string{"job", "queue", "workspace", "config_version", "took_ms"}, "nothing"}
	CallRefused          = Event{7012, zerolog.InfoLevel, "call refused", []string{"method", "path", "kind", "status", "error"}, "see the kind in docs/errors.md"}
	JobEnded             = Event{7013, zerolog.InfoLevel, "job ended", []string{"job", "queue", "workspace", "phase", "waited_ms", "took_ms", "failed_runs", "began_late", "start_slack_ms", "crashes"}, "see docs/OPERATIONS.md for jobs that failed or were late"}
	DependencyLost       = Event{7014, zerolog.WarnLevel, "a dependency of this node can't be reached", []string{"name", "error"}, "see docs/OPERATIONS.md, what a lost dependency looks like"}
	DependencyBack       = Event{7015, zerolog.InfoLevel, "a dependency of this node can be reached again", []string{"name"}, "nothing"}
	EntryUnreadable      = Event{7016, zerolog.WarnLevel, "the entry of a backend server is malformed and is ignored", []string{"server"}, "find out who else writes to the list of servers"}
	RelayFailed          = Event{7017, zerolog.WarnLevel, "a relay node doesn't respond; other nodes take over its servers", []string{"relay", "error"}, "nothing; if it repeats, check that node"}
	CallPanicked         = Event{7018, zerolog.ErrorLevel, "a call panicked; the process continues", []string{"method", "error", "stack"}, "report it with the stack"}
	ServiceLoad          = Event{7019, zerolog.InfoLevel, "load of a service", []string{"service", "servers", "free_servers", "arriving_servers", "backlog_server_s", "late_backlog_server_s"}, "if a backlog stays above two seconds of the servers, the pool is too small"}
	InterferenceChanged  = Event{7030, zerolog.InfoLevel, "pairs of images whose tasks slow each other down have changed", []string{"pairs"}, "nothing; comfreyctl interference lists them"}
	ProcessorUse         = Event{7020, zerolog.InfoLevel, "processor time of the dispatcher's process since the last line", []string{"interval_ms", "process_ms", "gc_ms", "passes", "pass_ms", "longest_pass_ms"}, "if process_ms comes near interval_ms times the processors of the VM, see docs/OPERATIONS.md"}
	UpkeepOrdered        = Event{7102, zerolog.InfoLevel, "upkeep of a machine ordered", []string{"machine", "server", "wave", "answer"}, "nothing"}
	MoveOrdered          = Event{7103, zerolog.InfoLevel, "move of a machine ordered", []string{"machine", "server", "from", "to", "answer"}, "nothing"}
	EvacuationRequested  = Event{7201, zerolog.InfoLevel, "a data centre is evacuated: no task starts there", []string{"data_centre"}, "nothing"}
	EvacuationWithdrawn  = Event{7202, zerolog.InfoLevel, "a data centre was taken back; its servers get work again by degrees", []string{"data_centre"}, "nothing"}
	EvacuationUnknown    = Event{7203, zerolog.WarnLevel, "a data centre without backend servers is evacuated", []string{"data_centre"}, "check the name of the record; it has no effect"}
	StartsHeld           = Event{7204, zerolog.WarnLevel, "no task starts, because a request to evacuate a data centre may not have been read", []string{"view_age_s"}, "see docs/OPERATIONS.md, what a lost dependency looks like"}
	StartsResumed        = Event{7205, zerolog.InfoLevel, "tasks start again: the operators' records have been read", nil, "nothing"}
	WaveComplete         = Event{7104, zerolog.InfoLevel, "all machines of a wave have begun their upkeep", []string{"wave"}, "nothing"}
	PoolUse              = Event{7105, zerolog.InfoLevel, "use of the machines of a service's pool since the last line", []string{"service", "working_s", "long_running_s", "idle_s", "away_s"}, "if idle_s stays high while nothing waits, see docs/OPERATIONS.md, machines that serve nobody"}
	SnapshotWritten      = Event{2003, zerolog.InfoLevel, "snapshot written to the log", []string{"offset"}, "nothing"}
	SnapshotRestored     = Event{2004, zerolog.InfoLevel, "state restored from a snapshot", []string{"offset"}, "nothing"}
	SnapshotFailed       = Event{2005, zerolog.WarnLevel, "snapshot could not be written", nil, "if it repeats, see docs/operators.md, retention nearly used up"}
	RecordSkipped        = Event{2006, zerolog.ErrorLevel, "a record of the log is malformed and was skipped", []string{"offset"}, "find out who else writes to the log"}
	ConfigInForce        = Event{3001, zerolog.InfoLevel, "configuration in force", []string{"version", "preset"}, "nothing"}
	KeyWithdrawn         = Event{3002, zerolog.InfoLevel, "key withdrawn on this VM", []string{"key_id"}, "nothing"}
	OperatorRefused      = Event{3003, zerolog.WarnLevel, "operator's change refused", []string{"kind", "error"}, "read the error; what was in force stays"}
	ViewStale            = Event{4001, zerolog.WarnLevel, "view is not fresh, keyed work is refused", []string{"age"}, "see docs/operators.md, a data centre is cut off"}
	ViewFresh            = Event{4002, zerolog.InfoLevel, "view is fresh again", nil, "nothing"}
	LeaseExpired         = Event{4004, zerolog.WarnLevel, "lease on grants expired", nil, "see docs/operators.md, a data centre is cut off"}
	MemberFenced         = Event{4005, zerolog.WarnLevel, "another entry VM was fenced", []string{"vm", "incarnation"}, "nothing if it was replaced; otherwise find out why it is gone"}
	ServerEjected        = Event{5001, zerolog.WarnLevel, "backend server ejected because its tasks fail", []string{"server"}, "check the server; drain it if it does not recover"}
	ServerDown           = Event{5002, zerolog.WarnLevel, "backend server reported down", []string{"server"}, "nothing; the platform replaces it"}
	ServerUp             = Event{5003, zerolog.InfoLevel, "backend server reported up", []string{"server"}, "nothing"}
	AnswerRejected       = Event{5004, zerolog.WarnLevel, "response of a backend server was truncated or belonged to another request", []string{"server", "error"}, "check the server if it repeats"}
	DrainStarted         = Event{6001, zerolog.InfoLevel, "drain started", []string{"server", "wave"}, "nothing"}
	DrainEmpty           = Event{6002, zerolog.InfoLevel, "server is empty and reboots", []string{"server", "wave"}, "nothing"}
	DrainDone            = Event{6003, zerolog.InfoLevel, "server is back in service", []string{"server", "wave"}, "nothing"}
	DrainAbandoned       = Event{6004, zerolog.WarnLevel, "drain abandoned to keep an availability budget", []string{"server", "wave", "reason"}, "nothing; it is retried later"}
	MoveStarted          = Event{6101, zerolog.InfoLevel, "move started", []string{"server", "from", "to"}, "nothing"}
	HeadsRefused         = Event{8001, zerolog.WarnLevel, "requests were refused because their heads are over the limit", []string{"listener", "count"}, "find out who sends them; see docs/operators.md, clients beyond the limits"}
	MemoryRefused        = Event{8002, zerolog.WarnLevel, "requests were refused because the unfinished ones hold all memory that is set aside for them", []string{"listener", "count"}, "see docs/operators.md, clients beyond the limits"}
	ConnectionsRefused   = Event{8003, zerolog.WarnLevel, "connections were closed because too many are open", []string{"listener", "count"}, "see docs/operators.md, clients beyond the limits"}
	SlowRefused          = Event{8004, zerolog.WarnLevel, "clients were disconnected because they stalled", []string{"listener", "count"}, "see docs/operators.md, clients beyond the limits"}
	MoveDone             = Event{6102, zerolog.InfoLevel, "move done", []string{"server", "to"}, "nothing"}
)

// All returns every event in ascending order of their numbers.
func All() []Event {
	return []Event{
		Started, Ready, Draining, Stopped, ShutdownTimedOut, FatalError, SelfFenced, SettingsChanged,
		LogUnreadable, LogReadable, SnapshotWritten, SnapshotRestored, SnapshotFailed, RecordSkipped,
		ConfigInForce, KeyWithdrawn, OperatorRefused,
		ViewStale, ViewFresh, LeaseExpired, MemberFenced,
		ServerEjected, ServerDown, ServerUp, AnswerRejected,
		DrainStarted, DrainEmpty, DrainDone, DrainAbandoned,
		MoveStarted, MoveDone,
		DispatcherClaimed, DispatcherStarted, DispatcherStopped, DispatcherFenced, OrderFenced, StartRefused, ServerProblem, DispatchState, DispatcherHandedOver, EpochRaised, JobStored, CallRefused, JobEnded,
		DependencyLost, DependencyBack, EntryUnreadable, RelayFailed, CallPanicked, ServiceLoad, ProcessorUse, InterferenceChanged,
		UpkeepOrdered, MoveOrdered, WaveComplete, PoolUse,
		EvacuationRequested, EvacuationWithdrawn, EvacuationUnknown, StartsHeld, StartsResumed,
		HeadsRefused, MemoryRefused, ConnectionsRefused, SlowRefused,
	}
}

// Log writes an event with its fields, given in the order of e.Fields.
func Log(l zerolog.Logger, e Event, values ...any) {
	line := l.WithLevel(e.Level).Int("event", e.Number)
	for i, v := range values {
		if i < len(e.Fields) {
			line = line.Interface(e.Fields[i], printable(v))
		}
	}
	line.Msg(e.Text)
}

func printable(v any) any {
	switch v := v.(type) {
	case error:
		return v.Error()
	case fmt.Stringer:
		return v.String()
	}
	return v
}

// Row returns the line of the event in the table of docs/events.md.
func (e Event) Row() string {
	return fmt.Sprintf("| %d | %s | %s | %s | %s |", e.Number, e.Level, e.Text, strings.Join(e.Fields, ", "), e.Action)
}
