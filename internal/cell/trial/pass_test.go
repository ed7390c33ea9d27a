package trial

import "testing"

// Guards against a pass that holds more hosts than it may, or asks about the same hosts for
// much more work than can be tried.
func TestPassIsBounded(t *testing.T) {
	p := NewPass(3, 1, 5, 1)
	if p.Take(3) || !p.Take(2) || !p.Full() || p.Held() != 3 || p.Most() != 3 {
		t.Errorf("%d hosts are held, %d may be", p.Held(), p.Most())
	}
	calls := 0
	for ; p.MayAsk(); calls++ {
		if p.Over() {
			t.Error("a pass is over that may ask")
		}
		p.Asked()
	}
	if calls != 2*CallsPerHost-1 || !p.Over() {
		t.Errorf("%d calls are requested, with one in flight and two hosts to take", calls)
	}
	if !NewPass(1, 1, 0, 0).MayAsk() {
		t.Error("no call is made ahead of the next trial")
	}
}
