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
func NewSet(list []Object) (*Set, error) { return Apply(list, nil) }

// clone returns a set that can be changed without changing s.
func (s *Set) clone() *Set {
	return &Set{
		Units: maps.Clone(s.Units), Limits: maps.Clone(s.Limits), Shares: maps.Clone(s.Shares),
		Teams: maps.Clone(s.Teams), Keys: maps.Clone(s.Keys), Queues: maps.Clone(s.Queues),
		Policies: maps.Clone(s.Policies), Upstreams: maps.Clone(s.Upstreams),
		files: maps.Clone(s.files), keyHashes: map[string]string{},
	}
}

// remove deletes an object and reports whether it existed.
func (s *Set) remove(ref Ref) bool {
	_, existed := s.files[ref]
	delete(s.files, ref)
	switch ref.Kind {
	case KindUnit:
		delete(s.Units, ref.Name)
	case KindLimit:
		delete(s.Limits, ref.Name)
	case KindShare:
		delete(s.Shares, ref.Name)
	case KindTeam:
		delete(s.Teams, ref.Name)
	case KindKey:
		delete(s.Keys, ref.Name)
	case KindQueue:
		delete(s.Queues, ref.Name)
	case KindPolicy:
		delete(s.Policies, ref.Name)
	case KindUpstream:
		delete(s.Upstreams, ref.Name)
	}
	return existed
}

func (s *Set) len() int { return len(s.files) }

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
