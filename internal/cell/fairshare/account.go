package fairshare

import (
	"math"
	"time"
)

const (
	// settlingTime is the time within which a team is to return to its share: usage beyond it
	// counts as if it went on for so long.
	settlingTime = time.Second
	// maxCreditTime is for how long a team that used nothing may have saved its share, and
	// maxDebtTime for how long one has to do without it at most.
	maxCreditTime = 4 * time.Second
	maxDebtTime   = 10 * time.Second
	// idleMemory is the time after which a balance counts for 1/e while there is room for all.
	idleMemory = 4 * time.Second
)

// Account holds the share of one team.
type Account struct {
	// Weight is the team's weight; see Division.Divide for zero.
	Weight float64
	// Used is what the team's runs use, and Limit the most that they may; a zero amount means
	// no limit.
	Used, Limit Amounts
	// Usage is the dominant share of Used.
	Usage float64
	// Entitled is the share that the team is entitled to.
	Entitled float64
	// Balance is what the team was entitled to and has not used, in shares times seconds;
	// negative if it has used more. It is bounded in both directions.
	Balance float64

	// spent is the use of each resource since the last division, in amounts times seconds.
	spent                    Amounts
	waiting, claimed, widest Amounts
	// forRoom is the part of waiting that waits for nothing but room.
	forRoom Amounts
	weight  float64
	wanted  float64
}

// Spend adds the use of resources for a time.
func (a *Account) Spend(used Amounts, d time.Duration) {
	a.spent = a.spent.Plus(used.Scale(d.Seconds()))
}

// Begin begins a division with what the team uses now.
func (a *Account) Begin(weight float64, used, limit Amounts) {
	a.Weight, a.Used, a.Limit = weight, used, limit
	a.waiting, a.claimed, a.widest, a.forRoom = Amounts{}, Amounts{}, Amounts{}, Amounts{}
}

// Want adds waiting work of the team. item is the part of it that has to start at once: all
// members of a gang, or one task. waitsForRoom is set if the work waits for nothing but room.
func (a *Account) Want(work, item Amounts, waitsForRoom bool) {
	a.waiting = a.waiting.Plus(work)
	a.widest = a.widest.Largest(item)
	if waitsForRoom {
		a.forRoom = a.forRoom.Plus(work)
	}
}

// demand returns the share that the team counts with towards contention.
func (a *Account) demand(capacity Amounts) float64 {
	others := a.waiting.Minus(a.forRoom).Scale(adviceFactor)
	wanted := a.Used.Plus(a.forRoom).Plus(others).within(a.Limit)
	return max(wanted.Dominant(capacity), a.Usage)
}

// Deficit returns how much of its share the team does not use; negative if it uses more.
func (a *Account) Deficit() float64 { return a.Entitled - a.Usage }

// overdraft returns by how much the team has overdrawn its account, in shares times seconds, if
// it stays at its usage for the settling time; negative if it has not.
func (a *Account) overdraft() float64 {
	return (a.Usage-a.Entitled)*settlingTime.Seconds() - a.Balance
}

// settle brings the balance up to date after a time of contention, of which the team earned what
// it was entitled to.
func (a *Account) settle(earned, spent float64) { a.Balance += earned - spent }

// fade brings the balance up to date after a time without contention: nobody is in debt for what
// nobody else wanted.
func (a *Account) fade(elapsed time.Duration) {
	a.Balance *= math.Exp(-elapsed.Seconds() / idleMemory.Seconds())
}

// bound bounds the balance by the present share and the widest item, which may be wider than the
// share.
func (a *Account) bound(widest float64) {
	credit := a.Entitled * maxCreditTime.Seconds()
	debt := max(a.Entitled, widest) * maxDebtTime.Seconds()
	a.Balance = min(max(a.Balance, -debt), credit)
}
