package logclient

// Event identifies an event that is counted, such as a failed append. The caller uses it as the label of a metric.
type Event string

// The events of this package.
const (
	EventAppended        Event = "appended"         // an append was confirmed
	EventAppendedByPeer  Event = "appended_by_peer" // an append was made through a peer
	EventAppendFailed    Event = "append_failed"    // an append failed or timed out and is retried
	EventAppendUnneeded  Event = "append_unneeded"  // the fold applied a batch before its append was confirmed
	EventBatchAbandoned  Event = "batch_abandoned"  // a batch was abandoned because no submitter waits for it
	EventBatchUnknown    Event = "batch_unknown"    // a snapshot was installed past a batch, whose results are unknown
	EventQueueFull       Event = "queue_full"       // a submission was rejected because the queue is full or closed
	EventReadFailed      Event = "read_failed"      // a read of the log failed
	EventRecordMalformed Event = "record_malformed" // a record is not a batch and was ignored
	EventRecordGap       Event = "record_gap"       // a page has a gap after the state's offset
	EventLogBehind       Event = "log_behind"       // the end of the log is before the state's offset
	EventRestored        Event = "restored"         // the state was restored from a snapshot in the log
	EventRestoreFailed   Event = "restore_failed"   // the log has no usable snapshot, or a snapshot in it is malformed
	EventPeerRecords     Event = "peer_records"     // records were received from a peer
	EventPeerSnapshot    Event = "peer_snapshot"    // a state was received from a peer
	EventPeerFailed      Event = "peer_failed"      // no peer could provide records or a state
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
