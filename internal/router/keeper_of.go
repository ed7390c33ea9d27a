package router

import "github.com/cespare/xxhash/v2"

// KeeperOf returns the member that lends the slots of a runner: the one with
// the highest hash of member and runner. It returns "" without members.
func KeeperOf(runner string, members []string) string {
	best, score := "", uint64(0)
	for _, m := range members {
		s := xxhash.Sum64String(m + "\x00" + runner)
		if best == "" || s > score || (s == score && m < best) {
			best, score = m, s
		}
	}
	return best
}
