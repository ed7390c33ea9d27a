// Package connlimit closes connections of a server beyond a bound. Which one is closed
// is decided by package intake. The package must never close a connection while a
// message of it is being processed.
package connlimit
