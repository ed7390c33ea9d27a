package objects

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/medlarpulley/medlarpulley/internal/resource"
)

func genVector(t *rapid.T, label string) resource.Vector {
	part := rapid.Int64Range(0, 100_000)
	return resource.Vector{MilliCPU: part.Draw(t, label+"cpu"), MemoryMiB: part.Draw(t, label+"mem"), Accelerators: rapid.Int64Range(0, 8).Draw(t, label+"acc")}
}

// Guards against a conversion between units whose result covers more resources
// than the original amount, or is not the largest possible one.
func TestConvertNeverExceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Range(0, 1<<40).Draw(t, "n")
		from, to := genVector(t, "from"), genVector(t, "to")
		got, ok := Convert(n, from, to)
		if !ok {
			t.Fatal("overflow in a range without one")
		}
		if !to.Scale(got).Fits(from.Scale(n)) {
			t.Fatalf("%d of %v is more than %d of %v", got, to, n, from)
		}
		if !to.IsZero() && to.Scale(got+1).Fits(from.Scale(n)) {
			t.Fatalf("%d of %v is not the largest amount", got, to)
		}
	})
}

// Guards against rounding loss when an amount is converted to a fraction of its
// unit and back.
func TestConvertRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, factor := rapid.Int64Range(0, 1<<30).Draw(t, "n"), rapid.Int64Range(1, 1000).Draw(t, "factor")
		unit := genVector(t, "unit")
		unit.MilliCPU++
		small, ok1 := Convert(n, unit.Scale(factor), unit)
		back, ok2 := Convert(small, unit, unit.Scale(factor))
		if !ok1 || !ok2 || small != n*factor || back != n {
			t.Fatalf("%d became %d and then %d", n, small, back)
		}
	})
}

// Guards against an integer overflow that turns a large limit into a small one.
func TestConvertReportsOverflow(t *testing.T) {
	if _, ok := Convert(1<<62, resource.Vector{MilliCPU: 4}, resource.Vector{MilliCPU: 1}); ok {
		t.Fatal("overflow was not reported")
	}
}

// Guards against amounts that change when they are formatted and parsed again, and
// against accepting malformed amounts.
func TestAmountRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Amount{rapid.Int64Range(0, maxInt64).Draw(t, "n"), rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "word")}
		if got, err := ParseAmount(a.String()); err != nil || got != a {
			t.Fatalf("%v became %v, %v", a, got, err)
		}
	})
	for _, bad := range []string{"", "120", "slots", "-1 slots", "+1 slots", "012 slots", "1.5 slots", "1  slots", "1 slots ", "9223372036854775808 slots"} {
		if _, err := ParseAmount(bad); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// Guards against validation that rejects valid sets or modifies them.
func TestValidSetIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, err := NewSet(genSet(t))
		if err != nil {
			t.Fatal(err)
		}
		again, err := NewSet(set.Objects())
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(set.Objects(), again.Objects()); d != "" {
			t.Fatal(d)
		}
		contract := set.Contract(7)
		for name, limit := range contract.Limits {
			if limit.Units != set.LimitUnits()[name] || limit.Unit.IsZero() {
				t.Fatalf("limit %s became %+v", name, limit)
			}
		}
	})
}

// Guards against a reference between objects that is not validated.
func TestMutatedReferenceIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := genSet(t)
		var targets []int
		for i, o := range list {
			if referenceIn(o.Spec) != "" {
				targets = append(targets, i)
			}
		}
		i := rapid.SampledFrom(targets).Draw(t, "object")
		name := referenceIn(list[i].Spec)
		list[i].Spec = json.RawMessage(strings.Replace(string(list[i].Spec), name, "missing", 1))
		_, err := NewSet(list)
		var faults Faults
		if !errors.As(err, &faults) {
			t.Fatalf("%s with %s is accepted", list[i].Ref(), list[i].Spec)
		}
		for _, f := range faults {
			if f.Object == list[i].Ref().String() && strings.Contains(f.Value, "missing") && f.Accepted != "" {
				return
			}
		}
		t.Fatalf("no fault names %s: %v", list[i].Ref(), faults)
	})
}

func referenceIn(spec json.RawMessage) string {
	for _, prefix := range []string{"unit", "limit", "share0", "team"} {
		for _, digit := range []string{"", "0", "1", "2", "3", "4", "5"} {
			name := prefix + digit
			if strings.Contains(string(spec), `"`+name+`"`) && !strings.Contains(string(spec), `"`+name+`":`) {
				return name
			}
		}
	}
	return ""
}

// Guards against a Diff that does not lead to the target set when applied, and
// against incremental Apply differing from a full one.
func TestDiffApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, errA := NewSet(genSet(t))
		b, errB := NewSet(genSet(t))
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		got, err := Apply(a.Objects(), Diff(a.Objects(), b.Objects()))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(b.Objects(), got.Objects()); d != "" {
			t.Fatal(d)
		}
		incremental, err := a.Apply(Diff(a.Objects(), b.Objects()))
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(got.Objects(), incremental.Objects()); d != "" {
			t.Fatal(d)
		}
		if rest := Diff(got.Objects(), b.Objects()); len(rest) != 0 {
			t.Fatalf("difference left: %v", rest)
		}
	})
}

// Guards against jobs that are submitted to a closed queue without the team's own
// key (I3).
func TestMaySubmit(t *testing.T) {
	set, err := NewSet([]Object{
		{Kind: KindUnit, Name: "slot", Spec: []byte(`{"milli_cpu":1000}`)},
		{Kind: KindLimit, Name: "l", Spec: []byte(`{"amount":"3 slots"}`)},
		{Kind: KindShare, Name: "s", Spec: []byte(`{"weight":1}`)},
		{Kind: KindTeam, Name: "a", Spec: []byte(`{"limit":"l","share":"s"}`)},
		{Kind: KindTeam, Name: "b", Spec: []byte(`{"limit":"l","share":"s"}`)},
		{Kind: KindKey, Name: "ka", Spec: []byte(`{"team":"a","sha256":"` + HashSecret("x") + `"}`)},
		{Kind: KindQueue, Name: "open", Spec: []byte(`{"open":true}`)},
		{Kind: KindQueue, Name: "closed", Spec: []byte(`{"teams":["a"]}`)},
	})
	if err != nil {
		t.Fatal(err)
	}
	if team, ok := set.Authenticate("x"); !ok || team != "a" {
		t.Errorf("key of a gives %q, %v", team, ok)
	}
	if team, ok := set.Authenticate("y"); ok || team != "" {
		t.Errorf("unknown key gives %q, %v", team, ok)
	}
	for _, c := range []struct {
		key, team, queue string
		want             bool
	}{
		{"a", "a", "closed", true}, {"", "a", "closed", false}, {"b", "a", "closed", false},
		{"b", "b", "closed", false}, {"", "b", "open", true}, {"", "nobody", "open", false}, {"a", "a", "none", false},
	} {
		if got := set.MaySubmit(c.key, c.team, c.queue); got != c.want {
			t.Errorf("%+v gives %v", c, got)
		}
	}
}

// Guards against panics on malformed files, and against accepting a file whose
// canonical form is rejected.
func FuzzParseTOML(f *testing.F) {
	f.Add([]byte("[[unit]]\nname='slot'\nmilli_cpu=1\n[[limit]]\nname='l'\namount='1 slots'\n"))
	f.Add([]byte("[[team]]\nname=1\n[[team.declares]]\nkind='gang'\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := ParseTOML("f", data)
		if err != nil {
			return
		}
		set, err := Apply(nil, changes)
		if err != nil {
			return
		}
		if _, err := NewSet(set.Objects()); err != nil {
			t.Fatal(err)
		}
	})
}
