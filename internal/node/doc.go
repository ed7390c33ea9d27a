// Package node assembles one entry node and owns its goroutines: the log client
// and the ledger, the host list, the ownership of shards and their dispatchers,
// the request path, the connections to peers and the gateway. It connects these
// packages and must not contain scheduling or ownership decisions of its own.
package node
