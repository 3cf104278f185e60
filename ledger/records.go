package ledger

import (
	"encoding/json"
	"strconv"

	"example.org/comfreyrouter/jobs"
)

// encode marshals types of this package and of package jobs, which always encode.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // no type of the ledger holds a value that JSON lacks
	}
	return data
}

// DispatcherRecord says which node decides.
func DispatcherRecord(d Dispatcher) Record { return Record{keyDispatcher, encode(d)} }

// SubmissionRecord stores an accepted job.
func SubmissionRecord(s jobs.Submission) Record { return Record{prefixJob + s.ID, encode(s)} }

// CancelRecord stores that a job is cancelled.
func CancelRecord(id string) Record { return Record{prefixCancel + id, []byte("1")} }

// ProgressRecord stores what has been achieved of a job.
func ProgressRecord(id string, p Progress) Record { return Record{prefixState + id, encode(p)} }

// FinalStateRecords store the end of a job and drop what is no longer needed of it.
func FinalStateRecords(id string, f FinalState) []Record {
	return []Record{
		{prefixFinal + id, encode(f)},
		{prefixJob + id, nil},
		{prefixState + id, nil},
		{prefixCancel + id, nil},
	}
}

// JobRemovedRecord drops a job that ended long ago.
func JobRemovedRecord(id string) Record { return Record{prefixFinal + id, nil} }

// ServerRecord stores that a server may be given work.
func ServerRecord(id string, s Server) Record { return Record{prefixServer + id, encode(s)} }

// ServerRemovedRecord stores that nothing runs on a server any more.
func ServerRemovedRecord(id string) Record { return Record{prefixServer + id, nil} }

// WaveRecord stores which machines of a wave have begun their upkeep.
func WaveRecord(number int64, machines []string) Record {
	return Record{prefixWave + strconv.FormatInt(number, 10), encode(machines)}
}

// MachineRecord stores that a machine is about to be ordered.
func MachineRecord(machine string, o MachineOrder) Record {
	return Record{prefixMachine + machine, encode(o)}
}

// NodeRecord stores what a node says of itself.
func NodeRecord(name string, n Node) Record { return Record{prefixNode + name, encode(n)} }

// NodeRemovedRecord drops a node that has left the fleet.
func NodeRemovedRecord(name string) Record { return Record{prefixNode + name, nil} }

// IsDispatcherKey reports whether a key is that of the dispatcher's record.
func IsDispatcherKey(key string) bool { return key == keyDispatcher }
