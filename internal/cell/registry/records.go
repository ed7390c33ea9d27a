package registry

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// Keys of the work topic. A prefix is followed by the name of the object.
const (
	keyOwner         = "o"
	prefixHost       = "h/"
	prefixSubmission = "s/"
	prefixProgress   = "p/"
	prefixCancel     = "c/"
	// prefixTombstone is followed by the ID of a submission and a random name; see Tombstone.
	prefixTombstone = "x/"
	// partSeparator separates the ID of a submission from the number of a part of its
	// progress. IDs do not contain it.
	partSeparator = "/"
	// prefixMark is followed by the name of the appender; see MarkRecord.
	prefixMark = "a/"
	// keyRunTimes is the key of what the owner has learned about run times.
	keyRunTimes = "t"
	// keyLoad is the owner's summary of the work that waits; see admission.Summary.
	keyLoad = "l"
)

// Ownership is the record of which process owns the cell.
type Ownership struct {
	Node string `json:"node"`
	// InstanceID is the random ID of the process. It differs between successive
	// processes of a node.
	InstanceID string `json:"boot"`
	// Token is the fencing token. It increases with each owner, and hosts refuse
	// orders with a lower one.
	Token int64 `json:"token"`
	// FirstSequence is the random sequence number at which the claim was appended.
	// It distinguishes the claims of one token.
	FirstSequence int64 `json:"claim,omitempty"`
	// Released is set once the owner has released the ownership.
	Released bool `json:"released,omitempty"`
	// Reconciled is set once every run of earlier owners is known or has ended, and
	// none of them can act any more, so that a successor has to consider only this
	// owner.
	Reconciled bool `json:"settled,omitempty"`
	// HeartbeatNumber makes successive heartbeats differ.
	HeartbeatNumber int64 `json:"beat,omitempty"`
}

// Run identifies a run of a task.
type Run struct {
	Task cell.TaskID `json:"task"`
	Run  int64       `json:"run"`
}

// NoLifetime is the lifetime of a host of which none is known to hold no longer lease than the
// owner's.
const NoLifetime = -1

// Host is a host that the owner uses. A host is open or closed to new runs. An
// open host may have any runs. A closed host has no runs other than those in
// Runs, because the owner starts nothing there before the record that opens the
// host is stored.
type Host struct {
	Spec cell.Host `json:"spec"`
	// Lifetime is the start of the last lifetime of the host, in Unix milliseconds, of which
	// the owner knows that it holds no longer lease than the owner's; NoLifetime if it knows
	// none, zero if it has not heard of the host. A later one may hold the longest lease that
	// hosts accept, from an order for a former one.
	Lifetime int64 `json:"lifetime,omitempty"`
	Closed   bool  `json:"closed,omitempty"`
	Runs     []Run `json:"runs,omitempty"`
}

func record(key string, value any) platform.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(eris.Wrapf(err, "encode record %q", key)) // all values are plain structs
	}
	return platform.Record{Key: key, Value: data}
}

// OwnershipRecord returns the record of an ownership.
func OwnershipRecord(o Ownership) platform.Record { return record(keyOwner, o) }

// HostRecord returns the record of a host that the owner uses.
func HostRecord(h Host) platform.Record { return record(HostKey(h.Spec.ID), h) }

// HostKey returns the key of the record of a host.
func HostKey(id string) string { return prefixHost + id }

// HostDeletionRecord returns the record that deletes a host.
func HostDeletionRecord(id string) platform.Record { return platform.Record{Key: HostKey(id)} }

// SubmissionKey returns the key of the record of an accepted submission.
func SubmissionKey(id string) string { return prefixSubmission + id }

// SubmissionRecord returns the record of an accepted submission.
func SubmissionRecord(s *cell.Submission) platform.Record { return record(SubmissionKey(s.ID), s) }

// ProgressRecord returns the record of the progress of a submission.
func ProgressRecord(id string, p cell.Progress) platform.Record { return record(prefixProgress+id, p) }

// ProgressPartRecord returns the record of a part of a divided progress. That of an empty
// part deletes it.
func ProgressPartRecord(id string, number int, p cell.ProgressPart) platform.Record {
	key := progressPartKey(id, number)
	if len(p.Groups) == 0 {
		return platform.Record{Key: key}
	}
	return record(key, p)
}

func progressPartKey(id string, number int) string {
	return prefixProgress + id + partSeparator + strconv.Itoa(number)
}

// SubmissionOfProgress returns the ID of the submission if a key is that of a progress, or of a
// part of one.
func SubmissionOfProgress(key string) (id string, ok bool) {
	name, ok := strings.CutPrefix(key, prefixProgress)
	id, _, _ = strings.Cut(name, partSeparator)
	return id, ok
}

// CancelRecord returns the record of a cancellation.
func CancelRecord(id string) platform.Record { return record(prefixCancel+id, true) }

// SubmissionDeletionRecords returns the records that delete every key of a submission. The
// stored parts of its progress are deleted first, so that they stay known until then.
func SubmissionDeletionRecords(id string, parts cell.BitSet) (records []platform.Record) {
	for _, number := range parts.Members() {
		records = append(records, platform.Record{Key: progressPartKey(id, number)})
	}
	return append(records, platform.Record{Key: prefixProgress + id}, platform.Record{Key: prefixCancel + id}, platform.Record{Key: prefixSubmission + id})
}

// MarkRecord returns the record that marks one append of an appender. The registry
// ignores it: it tells the appender that its append is stored. producer is that of
// the append.
func MarkRecord(appender, instanceID string, producer platform.Producer) platform.Record {
	value := instanceID + "/" + strconv.FormatInt(producer.Epoch, 10) + "/" + strconv.FormatInt(producer.Seq, 10)
	return platform.Record{Key: prefixMark + appender, Value: []byte(value)}
}

// IsOwnerWrite reports whether a record shows the readers of the log that the owner acts;
// see Registry.Owner.
func IsOwnerWrite(r platform.Record) bool {
	return IsOwnership(r) || len(r.Value) > 0 && strings.HasPrefix(r.Key, prefixProgress)
}

// IsOwnership reports whether a record is the record of an ownership.
func IsOwnership(r platform.Record) bool { return r.Key == keyOwner }
