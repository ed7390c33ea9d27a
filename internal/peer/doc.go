// Package peer is the gRPC transport between entry nodes. It owns their
// connections and carries the calls of proto/peer/v1. It must not contain
// scheduling or ownership decisions, and must never send a call twice.
//
// Every call has a deadline and every connection sends keepalives, so a dead
// connection is detected; Pool.Reset replaces it. The discovery, retries and
// proxies of the gRPC library are disabled, so a call is sent at most once.
package peer
