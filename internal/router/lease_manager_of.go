package router

import "github.com/cespare/xxhash/v2"

// LeaseManagerOf returns the member that is the lease manager of a runner. It
// is chosen by rendezvous hashing: the member with the highest hash of member
// and runner. Without members it returns "".
func LeaseManagerOf(runner string, members []string) string {
	best, score := "", uint64(0)
	for _, m := range members {
		s := xxhash.Sum64String(m + "\x00" + runner)
		if best == "" || s > score || (s == score && m < best) {
			best, score = m, s
		}
	}
	return best
}
