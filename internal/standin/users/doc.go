// Package users simulates the platform of the users for tests: its log store, its
// worker hosts and its advice service, as far as the decisions of the scheduler
// depend on them. It simulates faults on command. Product code must not import it.
package users
