// Package cell holds the types of one cell: submissions and their progress,
// queues, teams, hosts and what hosts report. It owns no state, decides
// nothing and knows no wire format.
package cell
