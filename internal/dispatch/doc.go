// Package dispatch drives one shard for its owner: it exchanges messages with
// the workers, feeds events to the scheduler and carries out its actions. It
// decides nothing about placement. Before every command it checks that the
// owner still has authority over the shard.
package dispatch
