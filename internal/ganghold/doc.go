// Package ganghold coordinates the start of a gang with parts in several
// shards. The coordinator asks the owners of the parts for expiring holds in
// shard-name order, all or none, and lets all parts start once every hold is
// granted. Afterwards it watches the parts: as long as all of them run it tells
// them so, and a part that stops makes it stop the others by checkpoint.
//
// Bounds. A hold ends HoldFor after its owner received the request, by the
// owner's clock, whatever happens to the coordinator. A part that hears nothing
// from a coordinator for the owner's WholeFor is stopped by the owner itself.
// So an idempotent gang runs partly for at most WholeFor plus the grace of a
// stop. Started non-idempotent tasks are never stopped: if a part could not
// start, the others run to their end, and the rest starts as a gang of its own
// after that.
//
// There is no deadlock, since nothing waits while it has holds: the first
// refusal releases all. The order of the shards and a jittered, bounded backoff
// let one of several competing gangs through.
//
// The package is deterministic: it reads no clock and sends nothing.
package ganghold
