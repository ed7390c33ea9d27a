// Package node assembles one entry process: the log client and the ledger, the
// host list, ownership of shards and their dispatchers, the request path, the
// peers and the gateway. It decides nothing itself.
package node
