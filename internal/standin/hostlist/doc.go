// Package hostlist is a stand-in for the platform's list of hosts, which can
// lag, leave hosts out and report hosts that are gone. It can be used in
// process, as a hostlist.List, or over HTTP.
package hostlist
