package schedule

import (
	"math"
	"time"
)

const (
	// speedWindow is over how many runs the speed of a host is averaged: with the spread of
	// real run times, a factor of 2, it is known within about 10 %, and a change shows half
	// after about 11 runs.
	speedWindow = 16
	// speedDoubt is how many runs at normal speed a new host counts as having had.
	speedDoubt = 4
	// maxSpeedError bounds the logarithm of what one run says about its host, so that a run
	// that takes many times as long by itself does not make its host slow.
	maxSpeedError = 0.5
	// maxLogSlowness bounds the slowness of a host to a factor of 4 in each direction.
	maxLogSlowness = 1.386
)

// hostSpeed is what the runs on a host say about its speed.
type hostSpeed struct {
	// logSlowness is the logarithm of how many times as long runs take as elsewhere; 0 for a
	// new host.
	logSlowness float64
	runs        int
}

// add adds the ratio of the duration of a run to what is expected on a host of normal speed.
func (p *hostSpeed) add(ratio float64) {
	p.runs = min(p.runs+1, speedWindow)
	weight := 1 / float64(min(p.runs+speedDoubt, speedWindow))
	off := math.Log(ratio) - p.logSlowness
	p.logSlowness += weight * min(max(off, -maxSpeedError), maxSpeedError)
	p.logSlowness = min(max(p.logSlowness, -maxLogSlowness), maxLogSlowness)
}

// learnHostSpeed measures a host by a run that took a time. If that is only a lower bound,
// it counts only if it shows that the host is slower than is known.
func (s *Scheduler) learnHostSpeed(a *taskRun, took time.Duration, censored bool) {
	normal := s.learning.model.Expect(a.task.group.runTimeKey(), a.task.group.step.Estimate, 1)
	if normal.Samples == 0 || normal.Median <= 0 || took <= 0 || a.task.group.step.BestEffort {
		return
	}
	h, ratio := a.host, float64(took)/float64(normal.Median)
	if censored && ratio <= h.health.slowness {
		return
	}
	// The slowness of all hosts is measured by run times at their mean.
	h.health.speed.add(ratio)
	h.health.slowness = s.learning.slowness(h.health.speed)
}

func (l *learning) slowness(p hostSpeed) float64 { return math.Exp(p.logSlowness - l.meanLogSlowness) }

// updateHostSpeeds relates the slowness of all hosts to their mean.
func (s *Scheduler) updateHostSpeeds() {
	if s.learning == nil || s.now < s.learning.speedsUntil {
		return
	}
	s.learning.speedsUntil = s.now + pathRefresh
	sum := 0.0
	for _, h := range s.sortedHosts {
		sum += h.health.speed.logSlowness
	}
	s.learning.meanLogSlowness = sum / float64(max(len(s.sortedHosts), 1))
	for _, h := range s.sortedHosts {
		if h.health.speed.runs > 0 {
			h.health.slowness = s.learning.slowness(h.health.speed)
		}
	}
}
