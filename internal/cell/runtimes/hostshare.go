package runtimes

const (
	// shareWindow is among how many of the newest samples those of one host are bounded.
	shareWindow = 64
	// sharePerHost is how many of them any host may contribute: 6 %, so that a host that
	// reports false ends hardly moves the median.
	sharePerHost = shareWindow / 16
	// shareFactor times the mean number of samples of a host is what it may contribute
	// beyond that, for cells of few hosts.
	shareFactor = 2
)

// hostShare counts the newest samples of each host, and bounds them.
type hostShare struct {
	byHost map[string]int
	// newest holds the hosts of the newest samples; next is where the next one goes.
	newest []string
	next   int
	// refused is the number of samples refused since the last one that was taken.
	refused int
}

// take counts a sample of a host. It reports false if the host has contributed too many.
// After shareWindow refusals in a row, the window is forgotten: the other hosts in it no
// longer contribute, and refused samples do not move it.
func (s *hostShare) take(host string) bool {
	if s.byHost == nil {
		s.byHost = make(map[string]int)
	}
	n := s.byHost[host]
	if n >= sharePerHost && n*len(s.byHost) > shareFactor*len(s.newest) {
		if s.refused++; s.refused < shareWindow {
			return false
		}
		*s = hostShare{byHost: make(map[string]int)}
	}
	s.refused = 0
	s.byHost[host]++
	if len(s.newest) < shareWindow {
		s.newest = append(s.newest, host)
		return true
	}
	oldest := s.newest[s.next]
	if s.byHost[oldest]--; s.byHost[oldest] <= 0 {
		delete(s.byHost, oldest)
	}
	s.newest[s.next] = host
	s.next = (s.next + 1) % shareWindow
	return true
}
