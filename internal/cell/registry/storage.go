package registry

import (
	"sync"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

const (
	// entryBytes is the memory of an entry without what is decoded from its records.
	entryBytes = 600
	// decodedFactor is how many times the size of a record its decoded form takes.
	decodedFactor = 3
	// tasksPerByte is how many tasks a byte of a bit set tells the state of.
	tasksPerByte = 8
)

// storage counts the memory that the entries take, for each team.
type storage struct {
	mu     sync.Mutex
	total  int64
	byTeam map[string]int64
}

func (s *storage) add(team string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += bytes
	if s.byTeam[team] += bytes; s.byTeam[team] == 0 {
		delete(s.byTeam, team)
	}
}

// Storage returns how much memory the stored submissions take in all, and how much those of
// a team do, in bytes. It includes those that have finished and are not deleted yet.
func (r *Registry) Storage(team string) (total, ofTeam int64) {
	r.storage.mu.Lock()
	defer r.storage.mu.Unlock()
	return r.storage.total, r.storage.byTeam[team]
}

// SubmissionBytes returns how much memory a submission takes once it is stored.
func SubmissionBytes(s *cell.Submission, rec platform.Record) int64 {
	return submissionBytes(s, len(rec.Value))
}

func submissionBytes(s *cell.Submission, recordBytes int) int64 {
	tasks := s.OccurrenceCount() * s.StepOffsets()[len(s.Steps)]
	return entryBytes + decodedFactor*int64(recordBytes) + int64(tasks/tasksPerByte)
}

// bytes returns how much memory the entry takes.
func (e *Entry) bytes() (n int64) {
	n = entryBytes + decodedFactor*int64(e.progressBytes+e.partsBytes)
	if e.Submission != nil {
		recordBytes := e.submissionBytes
		if e.Progress.State.Final() {
			recordBytes = 0 // only the summary is left
		}
		n += submissionBytes(e.Submission, recordBytes) - entryBytes
	}
	return n
}

// count counts the memory of the entry anew after a change.
func (s *storage) count(e *Entry) {
	team := ""
	if e.Submission != nil {
		team = e.Submission.Team
	}
	s.add(e.countedTeam, -e.countedBytes)
	e.countedTeam, e.countedBytes = team, e.bytes()
	s.add(e.countedTeam, e.countedBytes)
}

// remove takes the memory of an entry off that is removed.
func (s *storage) remove(e *Entry) { s.add(e.countedTeam, -e.countedBytes) }
