// Package node assembles one node of a cell, the process that serves callers. It
// owns the connections to the platform, the term of this process as owner of the
// cell, and the graceful shutdown. The process serves callers and reads the
// desired state and the heartbeats of nodes. If membership.FollowPolicy selects
// it, it also follows the work topic and may claim the ownership of the cell when
// the ownership is free. The only decision of this package is when to claim; it
// must not place work itself.
package node
