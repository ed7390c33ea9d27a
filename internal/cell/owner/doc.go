// Package owner executes the decisions of a cell's scheduler: it polls hosts
// and renews their leases, sends start and stop orders, calls the advice service and
// stores progress. It makes no scheduling decisions.
//
// The result of a run is handled in this order: the host reports it, its effect
// is stored, and only then is it acknowledged to the host and shown to callers.
// An owner acts only while its authority is valid. The authority is measured on
// a clock that also advances while the process is suspended.
package owner
