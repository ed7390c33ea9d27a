// Package membership suspects failures of other entry nodes and keeps what
// they last said. It is deterministic: clock values and typed events in, typed
// actions out. It never decides ownership. A Tracker is not safe for
// concurrent use; its caller holds a lock around each call.
//
// Only answers to own exchanges prove that something was true recently: they
// were written after the request was sent. A request that arrives can have
// been delayed for any time, so it updates summaries and offsets but proves
// neither that its sender is alive nor that the configuration is fresh.
package membership
