package ledger

import (
	"google.golang.org/protobuf/proto"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

// Apply applies the log record at an offset and returns events for what took
// effect and what was ignored. A payload that cannot be decoded is skipped and
// reported as Malformed. The error is ErrNotNewer or ErrMissingRecords if the
// offset is not NextOffset; the state is then unchanged.
func (s *State) Apply(offset uint64, payload []byte) ([]Event, error) {
	switch {
	case offset < s.NextOffset:
		return nil, ErrNotNewer
	case offset > s.NextOffset:
		return nil, ErrMissingRecords
	}
	s.NextOffset++
	s.Ownership.SetReadOffset(s.NextOffset)
	var batch ledgerv1.Batch
	o := Origin{Offset: offset, Index: -1}
	if err := proto.Unmarshal(payload, &batch); err != nil {
		return []Event{Malformed{o, "not a batch"}}, nil
	}
	o.Node, o.Incarnation, o.Sequence = batch.Node, batch.Incarnation, batch.Sequence
	if !isValidName(batch.Node) || batch.Incarnation == 0 || batch.Sequence == 0 {
		return []Event{Malformed{o, "batch without node, incarnation or sequence"}}, nil
	}
	if fresh, duplicate := s.admitBatch(o); !fresh {
		return []Event{BatchIgnored{o, duplicate}}, nil
	}
	events := make([]Event, 0, len(batch.Records)+1)
	events = append(events, BatchApplied{o, len(batch.Records)})
	for i, record := range batch.Records {
		o.Index = i
		events = s.applyRecord(events, o, record)
	}
	return events, nil
}

func (s *State) applyRecord(events []Event, o Origin, record *ledgerv1.Record) []Event {
	switch r := record.GetKind().(type) {
	case *ledgerv1.Record_Publication:
		return s.publish(events, o, r.Publication)
	case *ledgerv1.Record_Join:
		return s.join(events, o, r.Join)
	case *ledgerv1.Record_Leave:
		return s.leave(events, o)
	case *ledgerv1.Record_Evict:
		return s.evict(events, o, r.Evict)
	case *ledgerv1.Record_Renewal:
		return s.renew(events, o, r.Renewal)
	case *ledgerv1.Record_Claim:
		return s.claim(events, o, r.Claim)
	case *ledgerv1.Record_Release:
		return s.release(events, o, r.Release)
	case *ledgerv1.Record_JobAccepted:
		return s.acceptJob(events, o, r.JobAccepted)
	case *ledgerv1.Record_JobCancelled:
		return s.cancelJob(events, o, r.JobCancelled)
	case *ledgerv1.Record_Intents:
		return s.applyIntents(events, o, r.Intents)
	case *ledgerv1.Record_Outcomes:
		return s.applyOutcomes(events, o, r.Outcomes)
	case *ledgerv1.Record_Move:
		return s.moveTasks(events, o, r.Move)
	case *ledgerv1.Record_Transfer:
		return s.transferUnits(events, o, r.Transfer)
	case *ledgerv1.Record_HostSet:
		return s.applyHostSet(events, o, r.HostSet)
	case *ledgerv1.Record_SnapshotChunk:
		return s.applySnapshotChunk(events, o, r.SnapshotChunk)
	default:
		return append(events, Malformed{o, "unknown record type"})
	}
}
