package runtimes

import (
	"math"
	"time"
)

const (
	// minSamples is how many runs have to end until they are used instead of the estimate.
	minSamples = 10
	// changeFactor is how much smaller the error of the other measure has to be for the
	// model to change to it, so that it does not alternate.
	changeFactor = 0.9
	// ratioScale is the histogram's value of the ratio 1.
	ratioScale = 1000
	// millisecond is the unit of times in histograms.
	millisecond = float64(time.Millisecond)
)

// learned is what the model holds for one key.
type learned struct {
	// times holds durations at normal speed, and ratios those to the estimate.
	times, ratios                 distribution
	observed, observedRatios      int64
	censored, dropped             int64
	timePredictor, ratioPredictor predictor
	medianError, estimateError    float64
	medianErrors, estimateErrors  int64
	byRatio                       bool
	share                         hostShare
	usedAt                        int64
}

func newLearned() *learned {
	return &learned{times: newDistribution(), ratios: newDistribution()}
}

// ready reports whether enough runs have ended to be used.
func (l *learned) ready() bool { return l.observed >= minSamples }

// observe adds a run that ended. took is its duration at normal speed.
func (l *learned) observe(took, estimate time.Duration) {
	l.observed++
	logTook := math.Log(float64(took))
	l.measureErrors(logTook, took, estimate)
	l.timePredictor.add(l.observed, logTook)
	l.times.record(float64(took) / millisecond)
	if estimate > 0 {
		l.observedRatios++
		l.ratioPredictor.add(l.observedRatios, logTook-math.Log(float64(estimate)))
		l.ratios.record(float64(took) / float64(estimate) * ratioScale)
	}
	l.chooseMeasure()
}

// measureErrors adds the errors of the expectation and of the estimate for a run that ended.
func (l *learned) measureErrors(logTook float64, took, estimate time.Duration) {
	if !l.ready() {
		return
	}
	d, unit := l.measure(estimate)
	if median := d.table().at(0.5) * unit; median > 0 {
		l.medianErrors++
		addError(&l.medianError, l.medianErrors, logTook-math.Log(median))
	}
	if estimate > 0 {
		l.estimateErrors++
		addError(&l.estimateError, l.estimateErrors, math.Log(float64(took)/float64(estimate)))
	}
}

// chooseMeasure selects what predicts better: the time, or its ratio to the estimate.
func (l *learned) chooseMeasure() {
	switch {
	case l.observedRatios < minSamples || 2*l.observedRatios < l.observed:
		l.byRatio = false // too few runs have estimates
	case l.byRatio:
		l.byRatio = l.timePredictor.Error >= changeFactor*l.ratioPredictor.Error
	default:
		l.byRatio = l.ratioPredictor.Error < changeFactor*l.timePredictor.Error
	}
}

// boundSaysSomething reports whether a lower bound of a duration would be recorded.
func (l *learned) boundSaysSomething(took, estimate time.Duration) bool {
	if !l.ready() {
		return false // there is nothing to compare it with
	}
	return l.times.exceedsSome(float64(took)/millisecond) || l.ratioKnown(estimate) && l.ratios.exceedsSome(float64(took)/float64(estimate)*ratioScale)
}

// ratioKnown reports whether a lower bound can be compared with ratios to the estimate.
func (l *learned) ratioKnown(estimate time.Duration) bool {
	return estimate > 0 && l.observedRatios >= minSamples
}

// observeCensored adds a run of which a lower bound of its duration is known.
func (l *learned) observeCensored(took, estimate time.Duration) {
	l.censored++
	l.times.recordCensored(float64(took) / millisecond)
	if l.ratioKnown(estimate) {
		l.ratios.recordCensored(float64(took) / float64(estimate) * ratioScale)
	}
}

// measure returns the measure that is used for a run with an estimate, and its unit in
// nanoseconds at normal speed.
func (l *learned) measure(estimate time.Duration) (d *distribution, unit float64) {
	if l.byRatio && estimate > 0 {
		return &l.ratios, float64(estimate) / ratioScale
	}
	return &l.times, millisecond
}
