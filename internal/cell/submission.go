package cell

import "time"

// Submission is a piece of work as its caller handed it in.
type Submission struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Queue is the queue as it was when the submission was accepted. It is used
	// when the queue has been withdrawn since.
	Queue Queue  `json:"queue"`
	Spec  string `json:"spec,omitempty"`
	Steps []Step `json:"steps,omitempty"`
	// Over is set in the short form that is stored once the submission is over.
	Over bool `json:"over,omitempty"`
	// Occurrences is how often the steps run; zero for once, without a due time.
	Occurrences int `json:"occurrences,omitempty"`
	// FirstDue is the due time of the first occurrence, since 1970.
	FirstDue time.Duration `json:"first_due,omitempty"`
	// Received is when the first node received it, since 1970. It orders work
	// and is no basis for safety, since the clocks of machines differ.
	Received time.Duration `json:"received,omitempty"`
	// Interval is the time between due times.
	Interval time.Duration `json:"interval,omitempty"`
}

// Short returns what callers may still ask about once the submission is over.
func (s *Submission) Short() *Submission {
	return &Submission{ID: s.ID, Team: s.Team, Queue: Queue{Name: s.Queue.Name}, Occurrences: s.Occurrences, Over: true}
}

// Rounds returns how often the steps run.
func (s *Submission) OccurrenceCount() int { return max(s.Occurrences, 1) }

// Timed reports whether occurrences have due times.
func (s *Submission) Timed() bool { return s.Occurrences > 0 }

// Due returns the due time of an occurrence, since 1970.
func (s *Submission) Due(occurrence int) time.Duration {
	return s.FirstDue + time.Duration(occurrence)*s.Interval
}
