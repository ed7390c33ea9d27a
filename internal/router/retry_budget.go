package router

const (
	// retryPercent is the part of the traffic that may be retries.
	retryPercent = 10
	// retryBurst bounds the retries saved up, so that a fault after a long
	// quiet time does not double the traffic.
	retryBurst = 20
)

// RetryBudget bounds retries of idempotent requests. The zero value allows
// none until traffic has passed.
type RetryBudget struct{ percent int }

// Request counts one request of a caller.
func (b *RetryBudget) Request() { b.percent = min(b.percent+retryPercent, retryBurst*100) }

// Take uses up one retry. It returns false if the budget is spent.
func (b *RetryBudget) Take() bool {
	if b.percent < 100 {
		return false
	}
	b.percent -= 100
	return true
}
