// Package objects holds the published objects: teams, keys, queues, shares,
// limits, units, policies and upstreams. It decodes them strictly, checks a
// whole set and converts it to the contract of the scheduler. It is
// deterministic and does no I/O.
package objects
