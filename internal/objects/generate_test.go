package objects

import (
	"encoding/json"
	"fmt"

	"pgregory.net/rapid"
)

// genSet generates a valid set of objects.
func genSet(t *rapid.T) []Object {
	var out []Object
	add := func(kind Kind, name string, spec any) {
		data, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, Object{Kind: kind, Name: name, Spec: data})
	}
	pick := func(prefix string, n int) string {
		return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, n-1).Draw(t, prefix))
	}
	units := rapid.IntRange(1, 5).Draw(t, "units")
	for i := range units {
		u := Unit{MilliCPU: rapid.Int64Range(1, 4000).Draw(t, "cpu"), MemoryMiB: rapid.Int64Range(0, 9000).Draw(t, "mem")}
		if i > 0 && rapid.Bool().Draw(t, "derived") {
			u = Unit{Of: pick("unit", i), Factor: rapid.Int64Range(1, 9).Draw(t, "factor")}
		}
		add(KindUnit, fmt.Sprintf("unit%d", i), u)
	}
	limits := rapid.IntRange(1, 4).Draw(t, "limits")
	for i := range limits {
		word := pick("unit", units) + rapid.SampledFrom([]string{"", "s"}).Draw(t, "plural")
		add(KindLimit, fmt.Sprintf("limit%d", i), Limit{fmt.Sprintf("%d %s", rapid.Int64Range(0, 500).Draw(t, "n"), word)})
	}
	add(KindShare, "share0", Share{Weight: rapid.Int64Range(1, 50).Draw(t, "weight")})
	teams := rapid.IntRange(1, 6).Draw(t, "teams")
	for i := range teams {
		name := fmt.Sprintf("team%d", i)
		add(KindTeam, name, Team{Limit: pick("limit", limits), Share: "share0"})
		add(KindKey, "key-"+name, Key{Team: name, SHA256: HashSecret(name)})
	}
	add(KindQueue, "open", Queue{Open: true})
	add(KindQueue, "closed", Queue{Teams: []string{pick("team", teams)}})
	up := DefaultUpstream()
	up.Service, up.Teams = "svc", []UpstreamTeam{{pick("team", teams), 3}}
	add(KindUpstream, "up", up)
	if rapid.Bool().Draw(t, "policy") {
		add(KindPolicy, PolicyName, DefaultPolicy())
	}
	return out
}
