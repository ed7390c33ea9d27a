package objects

import "testing"

// BenchmarkApply measures applying one changed share to a set of the design size.
// Every node does this for each publication, and again when it rebuilds its
// state.
func BenchmarkApply(b *testing.B) {
	set, err := Apply(nil, parseDir(b, "design-size"))
	if err != nil {
		b.Fatal(err)
	}
	change := []Change{{Kind: KindShare, Name: "team-01", Spec: []byte(`{"weight":7}`)}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := set.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
}
