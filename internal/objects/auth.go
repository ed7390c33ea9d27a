package objects

import "slices"

// Authenticate returns the team whose key has the given secret.
func (s *Set) Authenticate(secret string) (team string, ok bool) {
	name, ok := s.keyHashes[HashSecret(secret)]
	return s.Keys[name].Team, ok
}

// MaySubmit reports whether jobs of a team may be submitted to a queue. keyTeam
// is the team of the key that authenticated the request, empty if it had none.
// An open queue accepts jobs of every team, with or without a key; any other
// queue accepts only jobs of a team that it lists, with that team's own key.
func (s *Set) MaySubmit(keyTeam, team, queue string) bool {
	q, ok := s.Queues[queue]
	if _, exists := s.Teams[team]; !ok || !exists {
		return false
	}
	return q.Open || (keyTeam == team && slices.Contains(q.Teams, team))
}
