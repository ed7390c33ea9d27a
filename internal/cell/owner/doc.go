// Package owner carries out what the scheduler of a cell decides: it looks at
// hosts and extends their leases, sends starts and stops, asks for advice and
// stores progress. It takes no scheduling decision.
//
// Order of an end: the host lists it, its effect is stored, and only then it is
// acknowledged to the host and shown to callers. An owner acts only while its
// authority, measured on a clock that goes on during a suspension, is fresh.
package owner
