package registry

import (
	"encoding/json"
	"fmt"

	"github.com/medlarpulley/medlarpulley/internal/cell"
	"github.com/medlarpulley/medlarpulley/platform"
)

// maxToken bounds the fencing token of an owner, so that the tokens and run numbers of
// later owners do not overflow.
const maxToken = 1 << 40

// decode decodes the value of a record. A value of null is an error, since it would
// decode as an empty one.
func decode(rec platform.Record, into any) error {
	if string(rec.Value) == "null" {
		return cell.NewFieldError(object(rec), "value", "null", "an object")
	}
	return json.Unmarshal(rec.Value, into)
}

func object(rec platform.Record) string { return "record " + cell.Quote(rec.Key) }

func decodeOwnership(rec platform.Record) (o Ownership, err error) {
	if err := decode(rec, &o); err != nil {
		return o, err
	}
	switch {
	case o.Token < 1 || o.Token > maxToken:
		return o, cell.NewFieldError(object(rec), "token", o.Token, fmt.Sprintf("1 to %d", maxToken))
	case o.Node == "":
		return o, cell.NewFieldError(object(rec), "node", o.Node, "the name of a node")
	case o.InstanceID == "":
		return o, cell.NewFieldError(object(rec), "boot", o.InstanceID, "the ID of a process")
	}
	return o, nil
}

func decodeHost(id string, rec platform.Record) (h Host, err error) {
	if err := decode(rec, &h); err != nil {
		return h, err
	}
	if h.Spec.ID != id {
		return h, cell.NewFieldError(object(rec), "spec.id", h.Spec.ID, cell.Quote(id))
	}
	h.Spec.Capacity = cell.ClampAmounts(h.Spec.Capacity)
	return h, nil
}

func decodeSubmission(id string, rec platform.Record) (*cell.Submission, error) {
	var s cell.Submission
	if err := decode(rec, &s); err != nil {
		return nil, err
	}
	if s.ID != id || id == "" {
		return nil, cell.NewFieldError(object(rec), "id", s.ID, cell.Quote(id))
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	s.Clamp()
	return &s, nil
}

func decodeProgress(rec platform.Record) (p cell.Progress, err error) {
	if err := decode(rec, &p); err != nil {
		return p, err
	}
	if p.State > cell.Cancelled {
		return p, cell.NewFieldError(object(rec), "state", uint8(p.State), fmt.Sprintf("0 to %d", cell.Cancelled))
	}
	return p, nil
}

func decodeProgressPart(rec platform.Record) (p cell.ProgressPart, err error) {
	err = decode(rec, &p)
	return p, err
}

// decodeCancel returns an error unless the record is that of a cancellation.
func decodeCancel(rec platform.Record) error {
	if string(rec.Value) != "true" {
		return cell.NewFieldError(object(rec), "value", string(rec.Value), "true")
	}
	return nil
}
