// Package router makes the decisions of request routing: load balancing over the
// runners of an upstream (Table), leases of runner slots (LeaseManager),
// admission and queuing (Admission), retries (RetryBudget), and the reservation
// of request ids so that a non-idempotent request is dispatched at most once
// (VoterTable, Reservation).
//
// It does no I/O and reads no clock. Every type is deterministic; times are
// monotonic durations since the start of the process and are passed in by the
// caller. No type is safe for concurrent use; the caller must hold a lock.
package router
