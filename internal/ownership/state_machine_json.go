package ownership

import "encoding/json"

// snapshotJSON is the encoding of the state in a snapshot. Map keys are sorted,
// so equal states have equal encodings.
type snapshotJSON struct {
	State        State             `json:"state"`
	Incarnations map[string]uint64 `json:"incarnations"`
}

// MarshalJSON implements json.Marshaler.
func (b *StateMachine) MarshalJSON() ([]byte, error) {
	return json.Marshal(snapshotJSON{State: b.state, Incarnations: b.incarnations})
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *StateMachine) UnmarshalJSON(data []byte) error {
	var form snapshotJSON
	if err := json.Unmarshal(data, &form); err != nil {
		return err
	}
	*b = *NewStateMachine()
	b.state = form.State
	if b.state.Holdings == nil {
		b.state.Holdings = map[string]Holding{}
	}
	for node, incarnation := range form.Incarnations {
		b.incarnations[node] = incarnation
	}
	return nil
}

// Clone returns a copy that shares no mutable data with b.
func (b *StateMachine) Clone() *StateMachine {
	c := NewStateMachine()
	c.state = b.State()
	for node, incarnation := range b.incarnations {
		c.incarnations[node] = incarnation
	}
	return c
}
