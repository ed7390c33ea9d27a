// Package fairshare divides the capacity of a cell among teams by weight while they ask for
// more than there is.
//
// The load it addresses: one of 20 teams sends seven times its usual work for some seconds to
// a cell that is 89 % full. Without shares, that work starts wherever something fits and then
// holds the room that the in-time work of the other teams needs next.
//
// The package owns the accounts of the teams and the division. It knows neither hosts nor
// submissions, and must never refuse a start by itself: it says which part of a team's waiting
// work is beyond its share, and the scheduler decides what that means.
package fairshare
