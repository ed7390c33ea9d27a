package estimate

import (
	"fmt"
	"testing"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

// TestRuntime guards against a wrong declared run time that is used although
// measurements exist, and against a bound that does not follow from them.
func TestRuntime(t *testing.T) {
	l := New()
	if e, b := l.Runtime("x", time.Hour); e != time.Hour || b != 2*time.Hour {
		t.Errorf("declared: got %s, bound %s", e, b)
	}
	for range 100 {
		l.Observe("x", 10*time.Second, resource.Vector{MilliCPU: 500})
	}
	if e, b := l.Runtime("x", time.Hour); e != 10*time.Second || b < e || b > 11*time.Second {
		t.Errorf("learned: got %s, bound %s", e, b)
	}
	if r := l.Remaining("x", time.Hour, 20*time.Second); r != 10*time.Second {
		t.Errorf("overdue: %s remaining", r)
	}
}

// TestTemplatesAreBounded guards against a learner that grows without bound.
func TestTemplatesAreBounded(t *testing.T) {
	l := New()
	for i := range 2 * maxTemplates {
		l.Observe(fmt.Sprint(i), time.Second, resource.Vector{})
	}
	if _, ok := l.Template("0"); ok || len(l.templates) != maxTemplates {
		t.Errorf("%d templates kept, oldest kept: %t", len(l.templates), ok)
	}
}
