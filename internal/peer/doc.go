// Package peer is the grpc transport between entry nodes. It carries the calls
// of proto/peer/v1 and decides nothing.
//
// Every call has a deadline and every connection is probed, so a connection
// that is silent for good is found; Pool.Reset replaces it. Discovery, retries
// and proxies of the library are off: a call is sent at most once.
package peer
