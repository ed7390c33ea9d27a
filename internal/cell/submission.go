package cell

import "time"

// Submission is work that a caller has submitted.
type Submission struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// KeyHash identifies the API key that it was submitted with, see Principal. Submissions that
	// were accepted by earlier versions have none.
	KeyHash string `json:"key,omitempty"`
	// Queue is the queue at the time when the submission was accepted. It is
	// used if the queue has been withdrawn since.
	Queue Queue  `json:"queue"`
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps,omitempty"`
	// Finished is set in the summary that is stored once the submission has
	// finished; see Summary.
	Finished bool `json:"over,omitempty"`
	// Occurrences is how often the steps run at their due times; zero if they run
	// once, without a due time.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstDue is the due time of the first occurrence, since the Unix epoch.
	FirstDue time.Duration `json:"first_due,omitempty"`
	// Received is when the first node received the submission, since the Unix
	// epoch. It serves to order work; safety must not depend on it, since the
	// clocks of machines differ.
	Received time.Duration `json:"received,omitempty"`
	// Interval is the time between the due times of two occurrences.
	Interval time.Duration `json:"interval,omitempty"`
}

// Summary returns a copy with only the fields that callers may still query once
// the submission has finished.
func (s *Submission) Summary() *Submission {
	return &Submission{ID: s.ID, Team: s.Team, KeyHash: s.KeyHash, Queue: Queue{Name: s.Queue.Name}, Occurrences: s.Occurrences, Finished: true}
}

// OccurrenceCount returns how often the steps run.
func (s *Submission) OccurrenceCount() int { return max(s.Occurrences, 1) }

// Timed reports whether the occurrences have due times.
func (s *Submission) Timed() bool { return s.Occurrences > 0 }

// Due returns the due time of an occurrence, since the Unix epoch.
func (s *Submission) Due(occurrence int) time.Duration {
	return TimeAfter(s.FirstDue, s.Interval, occurrence)
}

// StepOffsets returns the number of the first task of each step within an occurrence, and,
// last, the number of tasks of an occurrence. The tasks of a submission are numbered from 0
// by occurrence, step and index.
func (s *Submission) StepOffsets() []int {
	offsets := make([]int, len(s.Steps)+1)
	for i := range s.Steps {
		offsets[i+1] = offsets[i] + s.Steps[i].Count
	}
	return offsets
}
