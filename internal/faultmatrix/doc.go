// Package faultmatrix holds a test that injects every fault at every step of
// the processing of work in a cluster. Each entry node runs in its own process,
// so that it can be killed and paused; devcluster provides stand-ins for the
// platform. The invariants are checked against the records of the stand-ins and
// the responses that the callers received.
package faultmatrix
