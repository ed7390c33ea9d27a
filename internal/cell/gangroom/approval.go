package gangroom

// approvalMemory is the part of its weight that a sample keeps with each further call, so that
// a change of the policy shows within some dozen calls.
const approvalMemory = 0.95

// Approval estimates the share of the hosts in a call that the advice service approves.
type Approval struct {
	named, approved float64
}

// Add counts the hosts that a call named and those that it approved.
func (a *Approval) Add(named, approved int) {
	a.named = approvalMemory*a.named + float64(max(named, 0))
	a.approved = approvalMemory*a.approved + float64(min(max(approved, 0), max(named, 0)))
}

// Share returns the estimated share, between zero and one. Without samples it is a half.
func (a *Approval) Share() float64 {
	return (a.approved + 1) / (a.named + 2)
}
