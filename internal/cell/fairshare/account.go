package fairshare

// Account holds the share of one team.
type Account struct {
	// Weight is the team's weight; see Division.Divide for zero.
	Weight float64
	// Used is what the team's runs use, and Limit the most that they may; a zero amount means
	// no limit.
	Used, Limit Amounts
	// Usage is the dominant share of Used, and Average its average over the last seconds.
	Usage, Average float64
	// Entitled is the share that the team is entitled to.
	Entitled float64

	waiting, claimed Amounts
	weight           float64
	wanted           float64
	known            bool
}

// Begin begins a division with what the team uses now.
func (a *Account) Begin(weight float64, used, limit Amounts) {
	a.Weight, a.Used, a.Limit = weight, used, limit
	a.waiting, a.claimed = Amounts{}, Amounts{}
}

// Want adds waiting work of the team.
func (a *Account) Want(work Amounts) { a.waiting = a.waiting.Plus(work) }

// Deficit returns how much of its share the team does not use; negative if it uses more.
func (a *Account) Deficit() float64 { return a.Entitled - a.Usage }

// level is the usage that counts: the average, so that a team pays for what it used in the
// last seconds, corrected by half of what it has gained or lost since, so that it does not
// overshoot while the average lags.
func (a *Account) level() float64 { return (a.Usage + a.Average) / 2 }
