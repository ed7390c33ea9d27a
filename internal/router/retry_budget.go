package router

const (
	// retryPercent is the number of retries allowed per 100 requests.
	retryPercent = 10
	// retryBurst bounds the accumulated retries, so that a fault after a long
	// period without retries does not double the traffic.
	retryBurst = 20
)

// RetryBudget bounds the retries of idempotent requests to a percentage of the
// requests. The zero value allows no retry until requests have been counted.
//
// creditHundredths is the accumulated number of retries, in hundredths of a
// retry.
type RetryBudget struct{ creditHundredths int }

// CountRequest counts one request of a caller and adds its part to the budget.
func (b *RetryBudget) CountRequest() {
	b.creditHundredths = min(b.creditHundredths+retryPercent, retryBurst*100)
}

// Take takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) Take() bool {
	if b.creditHundredths < 100 {
		return false
	}
	b.creditHundredths -= 100
	return true
}
