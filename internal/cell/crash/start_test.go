package crash

import (
	"slices"
	"testing"
	"time"
)

// Guards against runs that are suspected though they have survived their start, and against a
// crash for which no run is.
func TestSuspectsOfACrash(t *testing.T) {
	const ms = time.Millisecond
	crash := time.Second
	suspected, recent, free := Suspicion{Suspected: true}, Suspicion{Suspected: true, Recent: true}, Suspicion{}
	for name, c := range map[string]struct {
		starts []Start
		want   []Suspicion
	}{
		"none started before":   {[]Start{{At: 100 * ms}, {At: 849 * ms}}, []Suspicion{suspected, suspected}},
		"one in the window":     {[]Start{{At: 100 * ms}, {At: 850 * ms}}, []Suspicion{free, recent}},
		"the last ones":         {[]Start{{At: 900 * ms}, {At: 960 * ms}, {At: 990 * ms}}, []Suspicion{suspected, recent, recent}},
		"start without answer":  {[]Start{{At: 100 * ms}, {}}, []Suspicion{free, recent}},
		"of an earlier owner":   {[]Start{{At: 990 * ms, Unknown: true}}, []Suspicion{suspected}},
		"beside a known recent": {[]Start{{At: 990 * ms, Unknown: true}, {At: 990 * ms}}, []Suspicion{free, recent}},
	} {
		if got := Suspects(c.starts, crash); !slices.Equal(got, c.want) {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
	if got := SuspectsOfSilent([]Start{{At: 849 * ms}, {At: 850 * ms}, {}, {Unknown: true}}, crash); !slices.Equal(got, []Suspicion{free, suspected, suspected, free}) {
		t.Errorf("a silent host: %+v", got)
	}
}
