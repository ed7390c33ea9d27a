package ledger

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	ledgerv1 "github.com/medlarpulley/medlarpulley/proto/ledger/v1"
)

func (s *State) publish(events []Event, o Origin, p *ledgerv1.Publication) []Event {
	c := &s.Config
	if !validName(p.Id) {
		return append(events, Malformed{o, "publication without an id"})
	}
	digest := digestOf(p)
	if j, ok := c.Verdicts[p.Id]; ok {
		return append(events, repeated(o, p, j, digest))
	}
	j := judgement{Digest: digest, Revision: c.Revision}
	if problems := checkChanges(p, c.Revision); len(problems) > 0 {
		return s.refuse(events, o, p, j, problems)
	}
	if conflicts := c.conflicts(p); len(conflicts) > 0 {
		j.Conflict = true
		c.judge(p.Id, j)
		return append(events, ConfigurationConflict{o, p.Id, p.BaseRevision, c.Revision, conflicts, false})
	}
	objects, refs := c.with(p)
	sorted := sortObjects(objects)
	if problems := s.validate(sorted); len(problems) > 0 {
		return s.refuse(events, o, p, j, problems)
	}
	c.Revision++
	c.Objects, c.sorted = objects, sorted
	for _, ref := range refs {
		if objects[ref.key()] == nil {
			c.withdraw(ref.key(), c.Revision)
		} else {
			delete(c.Withdrawn, ref.key())
		}
	}
	j.Accepted, j.Revision = true, c.Revision
	c.judge(p.Id, j)
	events = append(events, ConfigurationAccepted{o, p.Id, c.Revision, refs, false})
	return s.adjustLimits(events, o)
}

// refuse reports the faults of a publication and remembers some of them.
func (s *State) refuse(events []Event, o Origin, p *ledgerv1.Publication, j judgement, problems []Problem) []Event {
	problems = problems[:min(len(problems), MaxProblems)]
	for i := range problems {
		problems[i] = problems[i].bounded()
	}
	j.Problems = slices.Clone(problems[:min(len(problems), MaxKeptProblems)])
	s.Config.judge(p.Id, j)
	return append(events, ConfigurationRefused{o, p.Id, problems, false})
}

// repeated returns the verdict on a publication that was judged before.
func repeated(o Origin, p *ledgerv1.Publication, j judgement, digest uint64) Event {
	switch {
	case j.Digest != digest:
		problem := Problem{Field: "id", Value: p.Id, Want: "an id that no other publication has"}
		return ConfigurationRefused{o, p.Id, []Problem{problem}, false}
	case j.Accepted:
		return ConfigurationAccepted{o, p.Id, j.Revision, changedBy(p), true}
	case j.Conflict:
		return ConfigurationConflict{o, p.Id, p.BaseRevision, j.Revision, nil, true}
	default:
		return ConfigurationRefused{o, p.Id, j.Problems, true}
	}
}

// checkChanges returns the faults of a publication that do not depend on the
// objects in force.
func checkChanges(p *ledgerv1.Publication, revision uint64) []Problem {
	if p.BaseRevision > revision {
		return []Problem{{Field: "base_revision", Value: strconv.FormatUint(p.BaseRevision, 10),
			Want: "at most " + strconv.FormatUint(revision, 10)}}
	}
	if len(p.Changes) == 0 {
		return []Problem{{Field: "changes", Want: "at least one change"}}
	}
	var problems []Problem
	seen := make(map[ObjectRef]bool, len(p.Changes))
	for _, ref := range changedBy(p) {
		problem := Problem{Kind: ref.Kind, Name: ref.Name, Field: "name", Value: ref.Name}
		switch {
		case !ref.valid():
			problem.Want = "a kind without a slash and a name, at most " + strconv.Itoa(MaxName) + " bytes each"
		case seen[ref]:
			problem.Want = "each object once in a publication"
		default:
			seen[ref] = true
			continue
		}
		if problems = append(problems, problem); len(problems) >= MaxProblems {
			break
		}
	}
	return problems
}

// conflicts returns the current form of the objects of p that changed after
// its base revision.
func (c *configuration) conflicts(p *ledgerv1.Publication) []Object {
	var conflicts []Object
	for _, ref := range changedBy(p) {
		changed := c.changed(ref.key())
		if changed <= p.BaseRevision {
			continue
		}
		if o := c.Objects[ref.key()]; o != nil {
			conflicts = append(conflicts, *o)
		} else {
			conflicts = append(conflicts, Object{Kind: ref.Kind, Name: ref.Name, Changed: changed})
		}
	}
	return conflicts
}

// with returns the objects after p, and what p changes.
func (c *configuration) with(p *ledgerv1.Publication) (map[string]*Object, []ObjectRef) {
	objects, refs := maps.Clone(c.Objects), changedBy(p)
	for i, change := range p.Changes {
		if change.Withdrawn {
			delete(objects, refs[i].key())
			continue
		}
		objects[refs[i].key()] = &Object{Kind: change.Kind, Name: change.Name, Spec: change.Spec, Changed: c.Revision + 1}
	}
	return objects, refs
}

func (s *State) validate(sorted []*Object) []Problem {
	if len(sorted) > MaxObjects {
		return []Problem{{Field: "objects", Value: strconv.Itoa(len(sorted)), Want: "at most " + strconv.Itoa(MaxObjects)}}
	}
	size := 0
	for _, o := range sorted {
		size += len(o.Spec)
	}
	if size > MaxSpecs {
		return []Problem{{Field: "specs", Value: strconv.Itoa(size), Want: "at most " + strconv.Itoa(MaxSpecs) + " bytes"}}
	}
	if s.opts.Validate == nil {
		return nil
	}
	return slices.Clone(s.opts.Validate(sorted))
}

func changedBy(p *ledgerv1.Publication) []ObjectRef {
	refs := make([]ObjectRef, len(p.Changes))
	for i, change := range p.Changes {
		refs[i] = ObjectRef{change.GetKind(), change.GetName()}
	}
	return refs
}

// digestOf hashes the content of a publication. Every field has its length in
// front, so that different contents have different input.
func digestOf(p *ledgerv1.Publication) uint64 {
	h := xxhash.New()
	field := func(b []byte) {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	field([]byte(p.Author))
	field(binary.LittleEndian.AppendUint64(nil, p.BaseRevision))
	for _, c := range p.Changes {
		field([]byte(c.GetKind()))
		field([]byte(c.GetName()))
		field(c.GetSpec())
		field(strconv.AppendBool(nil, c.GetWithdrawn()))
	}
	return h.Sum64()
}
