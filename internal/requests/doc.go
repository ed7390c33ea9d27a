// Package requests is the path of a request that a caller waits for: from the
// caller to this entry node, to a runner of an upstream, and back. The
// decisions are those of package router; this package moves the bytes, asks
// the peers and keeps the verdict true.
package requests
