package gangroom

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a share outside of its range, and one that does not follow the answers.
func TestApprovalFollowsTheAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Approval
		for range rapid.IntRange(0, 20).Draw(t, "calls") {
			a.Add(rapid.IntRange(-1, 100).Draw(t, "named"), rapid.IntRange(-1, 120).Draw(t, "approved"))
			if s := a.Share(); s <= 0 || s >= 1 {
				t.Fatalf("the share is %f", s)
			}
		}
		for range 60 {
			a.Add(100, 35)
		}
		if s := a.Share(); s < 0.33 || s > 0.37 {
			t.Errorf("the share is %f after 60 calls that approved 0.35", s)
		}
	})
}
