package objects

import "testing"

// BenchmarkApply measures one changed share in a set of the design size, which
// every node does for each publication and again on a rebuild.
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
