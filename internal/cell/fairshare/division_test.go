package fairshare

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// accountOf returns an account that uses and wants parts of a capacity of 100.
func accountOf(weight, used, waiting float64) *Account {
	a := &Account{}
	a.Begin(weight, Amounts{used}, Amounts{})
	a.Want(Amounts{waiting}, Amounts{waiting}, true)
	return a
}

func shares(accounts ...*Account) []float64 {
	d := Division{}
	d.Divide(time.Hour, Amounts{100}, accounts)
	out := make([]float64, len(accounts))
	for i, a := range accounts {
		out[i] = a.Entitled
	}
	return out
}

// Guards against shares that ignore weights, leave room unused that a team does not want, or
// bind a team while there is room for all.
func TestDivide(t *testing.T) {
	limited := accountOf(1, 0, 500)
	limited.Limit = Amounts{10}
	tests := []struct {
		name     string
		accounts []*Account
		want     []float64
	}{
		{"by weight", []*Account{accountOf(1, 0, 500), accountOf(3, 50, 500)}, []float64{0.25, 0.75}},
		{"what one leaves is divided", []*Account{accountOf(2, 0, 10), accountOf(1, 0, 500), accountOf(1, 0, 500)}, []float64{0.1, 0.45, 0.45}},
		{"a team alone has all", []*Account{accountOf(1, 0, 500)}, []float64{1}},
		{"room for all", []*Account{accountOf(1, 60, 10), accountOf(9, 5, 5)}, []float64{0.7, 0.1}},
		{"a limit bounds what a team wants", []*Account{limited, accountOf(1, 0, 500)}, []float64{0.1, 0.9}},
		{"no weight is the mean weight", []*Account{accountOf(0, 0, 500), accountOf(2, 0, 500), accountOf(4, 0, 500)}, []float64{1. / 3, 2. / 9, 4. / 9}},
		{"no weights at all", []*Account{accountOf(0, 0, 500), accountOf(0, 0, 500)}, []float64{0.5, 0.5}},
	}
	for _, test := range tests {
		for i, got := range shares(test.accounts...) {
			if math.Abs(got-test.want[i]) > 1e-9 {
				t.Errorf("%s: account %d is entitled to %.3f, not %.3f", test.name, i, got, test.want[i])
			}
		}
	}
}

// Guards against a weight that changes in the middle of a burst and has no effect, or an
// account that keeps a share after its team has nothing to run any more.
func TestDivideFollowsChanges(t *testing.T) {
	d, a, b := Division{}, &Account{}, &Account{}
	divide := func(weight, waiting float64) float64 {
		a.Begin(weight, Amounts{50}, Amounts{})
		a.Want(Amounts{waiting}, Amounts{waiting}, true)
		b.Begin(1, Amounts{50}, Amounts{})
		b.Want(Amounts{500}, Amounts{1}, true)
		d.Divide(time.Hour, Amounts{100}, []*Account{a, b})
		return a.Entitled
	}
	if got := divide(1, 500); got != 0.5 {
		t.Errorf("at equal weights a share is %.3f", got)
	}
	if got := divide(3, 500); got != 0.75 {
		t.Errorf("after its weight has tripled, the share is %.3f", got)
	}
	a.Begin(3, Amounts{}, Amounts{})
	b.Begin(1, Amounts{100}, Amounts{})
	b.Want(Amounts{500}, Amounts{1}, true)
	d.Divide(time.Hour, Amounts{100}, []*Account{a, b})
	if b.Entitled != 1 {
		t.Errorf("beside a team without work, the share is %.3f", b.Entitled)
	}
}

// Guards against a gang that is wider than its team's share and never comes first, and against
// work that overdraws an account by more than its widest item and is not told apart.
func TestClaim(t *testing.T) {
	d, a, b := Division{}, accountOf(1, 0, 90), accountOf(1, 50, 0)
	b.Want(Amounts{500}, Amounts{10}, true)
	d.Divide(time.Hour, Amounts{100}, []*Account{a, b})
	for n, want := range []bool{false, false, true} {
		if _, excess := d.Claim(a, Amounts{90}); excess != want {
			t.Errorf("gang %d of a team that runs nothing: excess is %t", n+1, excess)
		}
	}
	for n, want := range []bool{false, true, true} {
		if _, excess := d.Claim(b, Amounts{10}); excess != want {
			t.Errorf("item %d of a team that uses its share: excess is %t", n+1, excess)
		}
	}
	// A capacity of zero, as without usable hosts, must not divide by zero.
	d.Divide(time.Hour, Amounts{}, []*Account{a, b})
	if level, excess := d.Claim(a, Amounts{10}); excess || math.IsNaN(level) {
		t.Errorf("without hosts: level %f, excess %t", level, excess)
	}
}

// overuse lets team a use most of the cell for a time in which b wants its share.
func overuse(d *Division, a, b *Account, from, until time.Duration) (now time.Duration) {
	for now = from; now < until; now += 100 * time.Millisecond {
		a.Spend(Amounts{80}, 100*time.Millisecond)
		b.Spend(Amounts{20}, 100*time.Millisecond)
		a.Begin(1, Amounts{80}, Amounts{})
		a.Want(Amounts{200}, Amounts{1}, true)
		b.Begin(1, Amounts{20}, Amounts{})
		b.Want(Amounts{200}, Amounts{1}, true)
		d.Divide(now, Amounts{100}, []*Account{a, b})
	}
	return now
}

// Guards against a team that has used more than its share and is within it again at the moment at
// which its runs end.
func TestOveruseIsPaidBack(t *testing.T) {
	d, a, b := &Division{}, &Account{}, &Account{}
	now := overuse(d, a, b, time.Hour, time.Hour+3*time.Second)
	a.Begin(1, Amounts{40}, Amounts{})
	a.Want(Amounts{200}, Amounts{1}, true)
	d.Divide(now, Amounts{100}, []*Account{a, b})
	if _, excess := d.Claim(a, Amounts{1}); !excess {
		t.Errorf("with a balance of %.3f the work of a team that uses less than its share now is not excess", a.Balance)
	}
	if _, excess := d.Claim(b, Amounts{40}); excess {
		t.Errorf("with a balance of %.3f the work of the other team is excess", b.Balance)
	}
}

// Guards against a debt that keeps a team from its share for minutes, and against shares that are
// saved for as long.
func TestBalancesAreBounded(t *testing.T) {
	d, a, b := &Division{}, &Account{}, &Account{}
	overuse(d, a, b, time.Hour, time.Hour+5*time.Minute)
	if least := -0.5*maxDebtTime.Seconds() - 1e-9; a.Balance < least || a.Balance > -1 {
		t.Errorf("after 5 minutes the debt is %.3f, want at least %.3f", a.Balance, least)
	}
	if most := 0.5*maxCreditTime.Seconds() + 1e-9; b.Balance > most || b.Balance < 1 {
		t.Errorf("after 5 minutes the credit is %.3f, want at most %.3f", b.Balance, most)
	}
}

// Guards against shares that all teams save since a part of the capacity fits nobody's work.
func TestNobodySavesWhatNobodyCanUse(t *testing.T) {
	d, a, b := &Division{}, &Account{}, &Account{}
	for now := time.Hour; now < time.Hour+time.Minute; now += 100 * time.Millisecond {
		for _, account := range []*Account{a, b} {
			account.Spend(Amounts{40}, 100*time.Millisecond)
			account.Begin(1, Amounts{40}, Amounts{})
			account.Want(Amounts{200}, Amounts{1}, true)
		}
		d.Divide(now, Amounts{100}, []*Account{a, b})
	}
	if math.Abs(a.Balance) > 1e-9 || math.Abs(b.Balance) > 1e-9 {
		t.Errorf("the balances are %.3f and %.3f", a.Balance, b.Balance)
	}
}

// Guards against claims that rank a team lower for having used more, or that reach the order of
// the queue out of order.
func TestClaimRisesWithUse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		amount := rapid.Float64Range(0, 200)
		used, more, spent := amount.Draw(rt, "used"), amount.Draw(rt, "more"), amount.Draw(rt, "spent")
		other, work := amount.Draw(rt, "other"), amount.Draw(rt, "work")
		level := func(used, spent float64) (first, second float64, excess bool) {
			d, a, b := Division{}, &Account{}, accountOf(1, other, 300)
			for i := range 2 {
				a.Begin(1, Amounts{used}, Amounts{})
				a.Want(Amounts{300}, Amounts{10}, true)
				d.Divide(time.Duration(i)*time.Second, Amounts{100}, []*Account{a, b})
				a.Spend(Amounts{spent}, time.Second)
			}
			first, excess = d.Claim(a, Amounts{work})
			second, _ = d.Claim(a, Amounts{work})
			return first, second, excess
		}
		first, second, excess := level(used, spent)
		moreUsed, _, moreExcess := level(used+more, spent)
		if second < first || moreUsed < first-1e-9 || excess && !moreExcess {
			rt.Fatalf("levels %f and %f, %f with %f more in use; excess %t, %t", first, second, moreUsed, more, excess, moreExcess)
		}
	})
}

// Guards against shares that are no numbers, which could not be encoded in a dump, when weights
// are so far apart that their difference is lost.
func TestSharesAreNumbersForAnyWeights(t *testing.T) {
	for _, weights := range [][]float64{{1e17, 1, 1}, {1, 1e300, 1e300}, {1e-300, 1, 1e12}} {
		var d Division
		var accounts []*Account
		for _, w := range weights {
			a := &Account{}
			a.Begin(w, Amounts{}, Amounts{})
			a.Want(Amounts{100}, Amounts{1}, true)
			accounts = append(accounts, a)
		}
		d.Divide(0, Amounts{100}, accounts)
		sum := 0.0
		for _, a := range accounts {
			if !(a.Entitled >= 0 && a.Entitled <= 1) {
				t.Errorf("weights %v: a team is entitled to %v", weights, a.Entitled)
			}
			sum += a.Entitled
		}
		if sum > 1.000001 {
			t.Errorf("weights %v: the teams are entitled to %v in all", weights, sum)
		}
	}
}
