package crash

// Suspicion says whether a run may be the cause of a crash that is not confirmed yet.
type Suspicion struct {
	// Suspected is set if it may be, Recent if it had started right before the crash.
	Suspected, Recent bool
}
