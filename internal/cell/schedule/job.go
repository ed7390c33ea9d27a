package schedule

import (
	"time"

	"github.com/medlarpulley/medlarpulley/internal/cell"
)

// job is an accepted submission that is not over.
type job struct {
	sub    *cell.Submission
	queue  cell.Queue
	team   *team
	groups []*group
	// chains caches the result of chain for each step.
	chains []time.Duration
	// steps is the number of steps; groups has as many for each occurrence.
	steps int
	state cell.State
	// left is the number of tasks that are not done.
	left int
	// unsettled jobs may have runs that this owner does not know of.
	unsettled bool
	// arrived is when the submission was received, on this owner's clock.
	arrived time.Duration
	// due is when it is expected to be over.
	due time.Duration
	// excess is set for what a team sends beyond its rate.
	excess bool
	// urgent is set for work of a queue of the first priority. It stays as it was
	// at acceptance, so that what is counted is also taken off.
	urgent bool
	order  int
}

func (j *job) group(id cell.GroupID) *group {
	i := id.Occurrence*j.steps + id.Step
	if id.Occurrence < 0 || id.Step < 0 || id.Step >= j.steps || i >= len(j.groups) {
		return nil
	}
	return j.groups[i]
}

// adviceNamed is how many hosts the objective allows a call for advice to name.
const adviceNamed = 30

// chain returns the longest time that steps which follow each other take,
// counted from a step on.
func (j *job) chain(from int) time.Duration {
	if j.chains == nil {
		j.chains = j.chainOfEach()
	}
	return j.chains[from]
}

// chainOfEach returns the chain from each step on.
func (j *job) chainOfEach() []time.Duration {
	longest := make([]time.Duration, j.steps)
	for i := j.steps - 1; i >= 0; i-- {
		step := &j.sub.Steps[i]
		longest[i] += step.Estimate
		if j.queue.Advice != nil {
			longest[i] += j.queue.Advice.Cost(adviceNamed)
		}
		for _, a := range step.After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	return longest
}

// objective returns how long the submission may take.
func (j *job) objective() time.Duration {
	var longest time.Duration
	for i := range j.steps {
		longest = max(longest, j.chain(i))
	}
	return time.Duration(j.queue.Stretch*float64(longest)) + j.queue.Latency
}
