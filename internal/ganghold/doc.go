// Package ganghold coordinates the start of a gang with parts in several
// shards. A hold is an expiring reservation of capacity for one part. The
// coordinator requests holds from the owners of the parts, in the order of the
// shard names, and confirms them all, so that the parts start, only once every
// hold is granted. Afterwards it polls the states of the parts. While all parts
// run it reports this to their owners; if one does not run, it stops the others
// by checkpoint.
//
// Bounds. A hold expires HoldValidity after its owner received the request, by
// the owner's clock, whatever happens to the coordinator. An owner stops its
// part if no coordinator reports within the GangRunningTimeout of its scheduler
// that all parts run. So an idempotent gang runs with only some of its parts
// for at most GangRunningTimeout plus the grace period of a stop. Started
// non-idempotent tasks are never stopped: if a part could not start, the others
// run to their end, and the remaining tasks start as a separate gang after
// that.
//
// Deadlock is impossible, because a coordinator never waits while it has holds:
// the first refusal releases all of them. The fixed order of the shards and a
// jittered, bounded backoff let one of several competing gangs start.
//
// The package is deterministic. It must never read a clock or send a message.
package ganghold
