// Package membership is the failure detector for the other entry nodes and keeps
// the last state that they reported. It is deterministic: it takes clock values
// and typed events and returns typed actions. It never decides ownership. A
// Tracker is not safe for concurrent use; its caller holds a lock around each
// call.
//
// Only answers to this node's own exchanges prove that something was true
// recently: they were written after the request was sent. A request from a peer
// can have been delayed for any time, so it updates summaries and offsets but
// proves neither that its sender is alive nor that the configuration is fresh.
package membership
