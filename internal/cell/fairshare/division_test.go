package fairshare

import (
	"math"
	"testing"
	"time"
)

// accountOf returns an account that uses and wants parts of a capacity of 100.
func accountOf(weight, used, waiting float64) *Account {
	a := &Account{}
	a.Begin(weight, Amounts{used}, Amounts{})
	a.Want(Amounts{waiting})
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
		a.Want(Amounts{waiting})
		b.Begin(1, Amounts{50}, Amounts{})
		b.Want(Amounts{500})
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
	b.Want(Amounts{500})
	d.Divide(time.Hour, Amounts{100}, []*Account{a, b})
	if b.Entitled != 1 {
		t.Errorf("beside a team without work, the share is %.3f", b.Entitled)
	}
}

// Guards against a gang that is wider than its team's share and never comes first, and against
// work beyond the share that is not told apart.
func TestClaim(t *testing.T) {
	d, a, b := Division{}, accountOf(1, 0, 90), accountOf(1, 50, 500)
	d.Divide(time.Hour, Amounts{100}, []*Account{a, b})
	if _, excess := d.Claim(a, Amounts{90}); excess {
		t.Error("a gang that is wider than the share of a team that runs nothing is excess")
	}
	if _, excess := d.Claim(a, Amounts{1}); !excess {
		t.Error("work after the share was claimed is not excess")
	}
	if _, excess := d.Claim(b, Amounts{10}); !excess {
		t.Error("work of a team that uses its share is not excess")
	}
	// A capacity of zero, as without usable hosts, must not divide by zero.
	d.Divide(time.Hour, Amounts{}, []*Account{a, b})
	if level, excess := d.Claim(a, Amounts{10}); excess || math.IsNaN(level) {
		t.Errorf("without hosts: level %f, excess %t", level, excess)
	}
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
			a.Want(Amounts{100})
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
