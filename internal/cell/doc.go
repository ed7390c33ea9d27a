// Package cell defines the data types of one cell: submissions and their
// progress, queues, teams, hosts and the reports of hosts. It must not hold
// state, make decisions or depend on a wire format.
package cell
