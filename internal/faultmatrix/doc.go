// Package faultmatrix holds a test that causes every fault at every step of
// the work of a cluster. Entry nodes are processes of their own, so that they
// can be killed and paused; the platform is the stand-ins of devcluster. The
// invariants are checked from the stand-ins' records and the callers' answers.
package faultmatrix
