package objects

import "slices"

// Authenticate returns the team of the key with a secret.
func (s *Set) Authenticate(secret string) (team string, ok bool) {
	name, ok := s.keyHashes[HashSecret(secret)]
	return s.Keys[name].Team, ok
}

// MaySubmit reports whether work of a team may enter a queue. keyTeam is the
// team of the key that came with it, empty if there was none. An open queue
// takes work for every team; any other queue takes it only from a team that
// it lists and whose own key came with it.
func (s *Set) MaySubmit(keyTeam, team, queue string) bool {
	q, ok := s.Queues[queue]
	if _, exists := s.Teams[team]; !ok || !exists {
		return false
	}
	return q.Open || (keyTeam == team && slices.Contains(q.Teams, team))
}
