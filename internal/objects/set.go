package objects

import (
	"encoding/json"
	"maps"
	"slices"
)

// Set is a decoded set of objects by kind and name. It must not be modified.
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

// NewSet decodes objects and validates them as a whole. The error is Faults and
// lists every fault; the set is nil in that case.
func NewSet(list []Object) (*Set, error) { return Apply(list, nil) }

// clone returns a copy of s without keyHashes, which validation fills in again.
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

// Objects returns the set in canonical form, sorted by kind and name.
func (s *Set) Objects() []Object {
	var out []Object
	out = appendObjects(out, s, KindUnit, s.Units)
	out = appendObjects(out, s, KindLimit, s.Limits)
	out = appendObjects(out, s, KindShare, s.Shares)
	out = appendObjects(out, s, KindTeam, s.Teams)
	out = appendObjects(out, s, KindKey, s.Keys)
	out = appendObjects(out, s, KindQueue, s.Queues)
	out = appendObjects(out, s, KindPolicy, s.Policies)
	out = appendObjects(out, s, KindUpstream, s.Upstreams)
	slices.SortFunc(out, func(a, b Object) int { return compareRefs(a.Ref(), b.Ref()) })
	return out
}

func appendObjects[T any](out []Object, s *Set, kind Kind, from map[string]T) []Object {
	for _, name := range slices.Sorted(maps.Keys(from)) {
		spec, err := json.Marshal(from[name])
		if err != nil {
			// Only an invalid enum value can fail to encode, and decoding rejects
			// those.
			panic(err)
		}
		out = append(out, Object{Kind: kind, Name: name, Spec: spec, File: s.files[Ref{kind, name}]})
	}
	return out
}
