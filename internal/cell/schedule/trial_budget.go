package schedule

// trialKind is why the tasks of a job are started only under trial.
type trialKind uint8

const (
	// confined work comes from a queue whose tasks have crashed hosts of late.
	confined trialKind = iota
	// suspected work may have crashed a host.
	suspected
	trialKinds
)

func (g *group) trialKind() trialKind {
	if g.job.suspected {
		return suspected
	}
	return confined
}

// trialBudget bounds the hosts that work under trial holds at one time, those that are
// down after a trial included.
type trialBudget struct {
	held    [trialKinds]int
	waiting [trialKinds]bool
	// share is what each kind may hold, however many hosts are busy, and spare what both
	// may hold together if more hosts are idle.
	share, spare int
}

// newTrialBudget returns the budget of this pass. The hosts that are held are counted.
func (s *Scheduler) newTrialBudget() trialBudget {
	b := trialBudget{share: max(1, len(s.sortedHosts)/hostsPerTrial), spare: s.spareHosts()}
	for _, h := range s.sortedHosts {
		if h.quarantinedFor != nil {
			b.held[h.quarantinedFor.trialKind()]++
		}
	}
	return b
}

// left returns how many more hosts a kind of work may hold now.
func (b *trialBudget) left(k trialKind) int {
	other := trialKinds - 1 - k
	total := b.held[k] + b.held[other]
	return max(min(b.share-b.held[k], 2*b.share-total), b.spare-total-max(b.reserve(other)-b.held[other], 0))
}

// most returns how many hosts a kind of work may hold if the other one holds no more
// than is kept for it.
func (b *trialBudget) most(k trialKind) int {
	return max(b.share, b.spare-b.reserve(trialKinds-1-k))
}

// reserve returns how many of the spare hosts are kept for a kind of work that waits.
func (b *trialBudget) reserve(k trialKind) int {
	if b.waiting[k] {
		return b.share
	}
	return 0
}
