// Package dispatch executes the scheduling decisions of one shard on behalf of
// its owner: it exchanges messages with the workers, feeds events to the
// scheduler and carries out the actions that the scheduler returns. It must
// never make placement decisions. Before every command it checks that the owner
// still has authority over the shard.
//
// A host is adopted once the owner has processed a full report of the tasks on
// it under the owner's fencing token. Before that, tasks that the previous owner
// started may run there without being known.
package dispatch
