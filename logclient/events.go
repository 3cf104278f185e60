package logclient

// Event names something that is counted, such as a reason for a retry. The caller maps it to a metric's label.
type Event string

// The events of this package.
const (
	EventAppended        Event = "appended"         // an append was answered
	EventAppendedByPeer  Event = "appended_by_peer" // an append was made by a peer
	EventAppendFailed    Event = "append_failed"    // an append failed or timed out and is repeated
	EventAppendUnneeded  Event = "append_unneeded"  // a batch was folded before its append was answered
	EventBatchAbandoned  Event = "batch_abandoned"  // nobody waits for a batch any more
	EventBatchUnknown    Event = "batch_unknown"    // a snapshot jumped over a batch
	EventQueueFull       Event = "queue_full"       // a submission was refused
	EventReadFailed      Event = "read_failed"      // a read of the log failed
	EventRecordMalformed Event = "record_malformed" // a record is no batch and was ignored
	EventRecordGap       Event = "record_gap"       // a page did not continue where the state ends
	EventLogBehind       Event = "log_behind"       // the log's end is before the state's offset
	EventRestored        Event = "restored"         // the state was restored from a snapshot in the log
	EventRestoreFailed   Event = "restore_failed"   // the log has no usable snapshot
	EventPeerRecords     Event = "peer_records"     // records came from a peer
	EventPeerSnapshot    Event = "peer_snapshot"    // a state came from a peer
	EventPeerFailed      Event = "peer_failed"      // no peer could help
	EventSnapshotWritten Event = "snapshot_written"
	EventSnapshotFailed  Event = "snapshot_failed"
)

// CountFunc counts an event. It must be safe for concurrent use.
type CountFunc func(Event)

func (c CountFunc) orNothing() CountFunc {
	if c == nil {
		return func(Event) {}
	}
	return c
}
