// Package worklog carries records to and from the platform's log: an appender
// that settles what became of each append, and a follower that reads a topic in
// order and survives a short history. It does not interpret records.
package worklog
