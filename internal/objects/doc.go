// Package objects defines the published objects: teams, keys, queues, shares,
// limits, units, policies and upstreams. It decodes them strictly, validates a
// whole set and converts it to the Contract of the scheduler. It must be
// deterministic and must not do I/O.
package objects
