package schedule

import (
	"testing"
	"time"
)

// Guards against advice calls for a gang that are sized by the submitter's estimate, while the
// queue is ordered by learned run times: after the desired state has changed, the first use of
// the critical path must not restore the estimate for the others either.
func TestSlackFollowsLearnedRunTimes(t *testing.T) {
	c := known(t, 4, 2*time.Second, 8*time.Second)
	g := c.s.newGroup(c.anyJob(single(8*time.Second)), 0, 0)
	c.publish()
	for name, work := range map[string]time.Duration{
		"by the slack": g.job.due - c.s.now - c.s.slack(g),
		"by the queue": c.s.criticalPath(g.job, 0),
	} {
		if work < 1800*time.Millisecond || work > 2200*time.Millisecond {
			t.Errorf("%s, a step that takes 2 s with an estimate of 8 s takes %s", name, work)
		}
	}
}
