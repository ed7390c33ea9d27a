// Package hostlist simulates the platform's host list for tests and
// measurements. On command, and only then, the list lags behind, omits hosts or
// reports removed hosts. It can be used in process, as a hostlist.List, or over
// HTTP.
package hostlist
