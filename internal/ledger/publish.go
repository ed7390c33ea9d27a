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
	if !isValidName(p.Id) {
		return append(events, Malformed{o, "publication without an id"})
	}
	digest := digestOf(p)
	if result, ok := c.Results[p.Id]; ok {
		return append(events, repeatResult(o, p, result, digest))
	}
	result := publicationResult{Digest: digest, Revision: c.Revision}
	if problems := checkChanges(p, c.Revision); len(problems) > 0 {
		return s.refusePublication(events, o, p, result, problems)
	}
	if conflicts := c.conflicts(p); len(conflicts) > 0 {
		result.Conflict = true
		c.storeResult(p.Id, result)
		return append(events, ConfigurationConflict{o, p.Id, p.BaseRevision, c.Revision, conflicts, false})
	}
	objects, refs := c.withChanges(p)
	sorted := sortObjects(objects)
	if problems := s.validateObjects(sorted); len(problems) > 0 {
		return s.refusePublication(events, o, p, result, problems)
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
	result.Accepted, result.Revision = true, c.Revision
	c.storeResult(p.Id, result)
	events = append(events, ConfigurationAccepted{o, p.Id, c.Revision, refs, false})
	return s.adjustLimits(events, o)
}

// refusePublication reports the problems of a publication and stores the first
// MaxStoredProblems of them.
func (s *State) refusePublication(events []Event, o Origin, p *ledgerv1.Publication, result publicationResult, problems []Problem) []Event {
	problems = problems[:min(len(problems), MaxProblems)]
	for i := range problems {
		problems[i] = problems[i].bounded()
	}
	result.Problems = slices.Clone(problems[:min(len(problems), MaxStoredProblems)])
	s.Config.storeResult(p.Id, result)
	return append(events, ConfigurationRefused{o, p.Id, problems, false})
}

// repeatResult returns the event for a publication whose id was used before: the
// stored result if the content is equal, a refusal otherwise.
func repeatResult(o Origin, p *ledgerv1.Publication, result publicationResult, digest uint64) Event {
	switch {
	case result.Digest != digest:
		problem := Problem{Field: "id", Value: p.Id, Want: "an id that no other publication has"}
		return ConfigurationRefused{o, p.Id, []Problem{problem}, false}
	case result.Accepted:
		return ConfigurationAccepted{o, p.Id, result.Revision, changedRefs(p), true}
	case result.Conflict:
		return ConfigurationConflict{o, p.Id, p.BaseRevision, result.Revision, nil, true}
	default:
		return ConfigurationRefused{o, p.Id, result.Problems, true}
	}
}

// checkChanges returns the problems of a publication that can be found without
// the current objects.
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
	for _, ref := range changedRefs(p) {
		problem := Problem{Kind: ref.Kind, Name: ref.Name, Field: "name", Value: ref.Name}
		switch {
		case !ref.isValid():
			problem.Want = "a kind without a slash and a name, at most " + strconv.Itoa(MaxNameBytes) + " bytes each"
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

// conflicts returns, in their current form, the objects in p that have changed
// since its base revision.
func (c *configuration) conflicts(p *ledgerv1.Publication) []Object {
	var conflicts []Object
	for _, ref := range changedRefs(p) {
		changed := c.lastChange(ref.key())
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

// withChanges returns the objects as they are once p is applied, and references
// to the objects that p changes.
func (c *configuration) withChanges(p *ledgerv1.Publication) (map[string]*Object, []ObjectRef) {
	objects, refs := maps.Clone(c.Objects), changedRefs(p)
	for i, change := range p.Changes {
		if change.Withdrawn {
			delete(objects, refs[i].key())
			continue
		}
		objects[refs[i].key()] = &Object{Kind: change.Kind, Name: change.Name, Spec: change.Spec, Changed: c.Revision + 1}
	}
	return objects, refs
}

func (s *State) validateObjects(sorted []*Object) []Problem {
	if len(sorted) > MaxObjects {
		return []Problem{{Field: "objects", Value: strconv.Itoa(len(sorted)), Want: "at most " + strconv.Itoa(MaxObjects)}}
	}
	size := 0
	for _, o := range sorted {
		size += len(o.Spec)
	}
	if size > MaxSpecBytes {
		return []Problem{{Field: "specs", Value: strconv.Itoa(size), Want: "at most " + strconv.Itoa(MaxSpecBytes) + " bytes"}}
	}
	if s.opts.Validate == nil {
		return nil
	}
	return slices.Clone(s.opts.Validate(sorted))
}

func changedRefs(p *ledgerv1.Publication) []ObjectRef {
	refs := make([]ObjectRef, len(p.Changes))
	for i, change := range p.Changes {
		refs[i] = ObjectRef{change.GetKind(), change.GetName()}
	}
	return refs
}

// digestOf returns a hash of the content of a publication. Each field is prefixed
// with its length, so that different contents never give the same input.
func digestOf(p *ledgerv1.Publication) uint64 {
	h := xxhash.New()
	hashField := func(b []byte) {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(b)))
		_, _ = h.Write(n[:])
		_, _ = h.Write(b)
	}
	hashField([]byte(p.Author))
	hashField(binary.LittleEndian.AppendUint64(nil, p.BaseRevision))
	for _, c := range p.Changes {
		hashField([]byte(c.GetKind()))
		hashField([]byte(c.GetName()))
		hashField(c.GetSpec())
		hashField(strconv.AppendBool(nil, c.GetWithdrawn()))
	}
	return h.Sum64()
}
