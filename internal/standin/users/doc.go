// Package users is a stand-in for the platform of the users: its log store,
// its worker hosts and its advice service, as far as decisions rest on them.
// Faults are injected on command. Product code does not import it.
package users
