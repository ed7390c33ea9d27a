package objects

import (
	"encoding/json"
	"maps"
	"slices"
)

// Set is a decoded set of objects by kind and name. Treat it as read-only.
type Set struct {
	Units     map[string]Unit
	Limits    map[string]Limit
	Shares    map[string]Share
	Teams     map[string]Team
	Keys      map[string]Key
	Queues    map[string]Queue
	Policies  map[string]Policy
	Upstreams map[string]Upstream

	files     map[Ref]string
	keyHashes map[string]string
}

func newSet() *Set {
	return &Set{
		Units: map[string]Unit{}, Limits: map[string]Limit{}, Shares: map[string]Share{},
		Teams: map[string]Team{}, Keys: map[string]Key{}, Queues: map[string]Queue{},
		Policies: map[string]Policy{}, Upstreams: map[string]Upstream{},
		files: map[Ref]string{}, keyHashes: map[string]string{},
	}
}

// NewSet decodes and checks objects as a whole. The error is Faults and lists
// every fault; the set is nil then.
func NewSet(list []Object) (*Set, error) { return newChecked(list, nil) }

// Objects returns the set in canonical form, ordered by kind and name.
func (s *Set) Objects() []Object {
	var out []Object
	out = appendKind(out, s, KindUnit, s.Units)
	out = appendKind(out, s, KindLimit, s.Limits)
	out = appendKind(out, s, KindShare, s.Shares)
	out = appendKind(out, s, KindTeam, s.Teams)
	out = appendKind(out, s, KindKey, s.Keys)
	out = appendKind(out, s, KindQueue, s.Queues)
	out = appendKind(out, s, KindPolicy, s.Policies)
	out = appendKind(out, s, KindUpstream, s.Upstreams)
	slices.SortFunc(out, func(a, b Object) int { return compareRefs(a.Ref(), b.Ref()) })
	return out
}

func appendKind[T any](out []Object, s *Set, kind Kind, from map[string]T) []Object {
	for _, name := range slices.Sorted(maps.Keys(from)) {
		spec, err := json.Marshal(from[name])
		if err != nil {
			// Every field has a JSON form; only an invalid enum can fail here,
			// and decoding refuses those.
			panic(err)
		}
		out = append(out, Object{Kind: kind, Name: name, Spec: spec, File: s.files[Ref{kind, name}]})
	}
	return out
}
