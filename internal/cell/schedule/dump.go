package schedule

import "fmt"

// Explain returns why a submission is as it is, one line for each open step.
func (s *Scheduler) Explain(id string) (out []string) {
	j := s.jobs[id]
	if j == nil {
		return nil
	}
	for _, g := range j.groups {
		if g.left == 0 {
			continue
		}
		line := fmt.Sprintf("step %s: %d of %d tasks done, %d present, %d waiting", g.id, len(g.tasks)-g.left, len(g.tasks), g.present, g.waiting)
		if !g.open {
			line += ", its turn has not come"
		} else if g.wait != waitNone {
			line += ", " + g.wait.String()
		}
		if g.run != 0 {
			line += fmt.Sprintf(", gang run %d, breaking %t", g.run, g.breaking)
		}
		out = append(out, line)
	}
	return out
}
