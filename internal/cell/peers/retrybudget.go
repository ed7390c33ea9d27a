package peers

const (
	// maxRetryTokens bounds the attempts that may fail before no call is tried again at
	// another node: retries stop once half of the tokens are used.
	maxRetryTokens = 10.0
	// retryTokensPerSuccess is what each successful attempt gives back, so that in the long
	// run at most one attempt in ten is a retry.
	retryTokensPerSuccess = 0.1
)

// retryBudget bounds the retries over all nodes: while most attempts fail, further ones
// only add to the load that makes them fail.
type retryBudget struct{ used float64 }

func (b *retryBudget) succeeded() { b.used = max(b.used-retryTokensPerSuccess, 0) }
func (b *retryBudget) failed()    { b.used = min(b.used+1, maxRetryTokens) }

// allows reports whether a failed call may be tried again.
func (b *retryBudget) allows() bool { return b.used < maxRetryTokens/2 }
