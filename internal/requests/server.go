package requests

import (
	"context"
	"hash/maphash"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/medlarpulley/medlarpulley/internal/platform/runner"
	"github.com/medlarpulley/medlarpulley/internal/router"
)

// Server serves the requests of one entry node. It is an http.Handler for
// /v1/upstreams/{upstream}/... and implements the peers' calls for reservations
// and slot leases.
type Server struct {
	options Options
	auth    Authenticator
	members Members
	peers   Peers
	client  runner.Client
	clock   Clock
	metrics *metrics

	inFlight      inFlightCounter
	bufferedBytes atomic.Int64
	leaseSequence atomic.Uint64
	nameCounter   atomic.Uint64
	upstreams     sync.Map // name to *upstream
	upstreamCount atomic.Int32
	runnersMu     sync.Mutex
	addresses     map[string]bool // addresses of the listed runners
	voters        [partitionCount]voterPartition
	leaseManagers [partitionCount]leaseManagerPartition
	partitionSeed maphash.Seed

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	leaseWake  chan struct{}
	statusWake chan struct{}
	leaseCalls sync.Map // name of a lease manager to *atomic.Bool
}

// voterPartition is the part of the voter table for some of the request ids.
type voterPartition struct {
	mu    sync.Mutex
	table *router.VoterTable
}

// leaseManagerPartition holds the slot leases of some of the runners.
type leaseManagerPartition struct {
	mu      sync.Mutex
	manager *router.LeaseManager
}

// New returns a Server and starts its background work. Close stops it.
func New(o Options, auth Authenticator, members Members, peers Peers, client runner.Client, clock Clock) *Server {
	s := &Server{
		options: o, auth: auth, members: members, peers: peers, client: client, clock: clock,
		metrics: newMetrics(o.Metrics), partitionSeed: maphash.MakeSeed(),
		leaseWake: make(chan struct{}, 1), statusWake: make(chan struct{}, 1),
	}
	for i := range partitionCount {
		s.voters[i].table = router.NewVoterTable(max(o.MaxVoterEntries/partitionCount, 1), router.DefaultVoterBytes/partitionCount)
		s.leaseManagers[i].manager = router.NewLeaseManager(o.Router)
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.background.Go(s.leaseLoop)
	s.background.Go(s.statusLoop)
	s.background.Go(s.leaseManagerStatusLoop)
	return s
}

// Drain refuses new requests from now on and waits for those in flight until ctx
// ends. It returns the number of requests still in flight.
func (s *Server) Drain(ctx context.Context) int {
	s.options.Log.Info("requests: Draining.")
	s.inFlight.close()
	left := s.inFlight.wait(ctx)
	s.options.Log.Info("requests: Drained.", "left", left)
	return left
}

// Close refuses new requests and stops the background work. It cancels
// non-idempotent requests whose caller no longer waits.
func (s *Server) Close() {
	s.inFlight.close()
	s.cancel()
	s.background.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 2*s.options.PeerTimeout)
	defer cancel()
	s.inFlight.wait(ctx)
}

func (s *Server) voterPartitionOf(team, id string) *voterPartition {
	return &s.voters[maphash.Comparable(s.partitionSeed, [2]string{team, id})%partitionCount]
}

func (s *Server) leaseManagerPartitionOf(runner string) *leaseManagerPartition {
	return &s.leaseManagers[maphash.String(s.partitionSeed, runner)%partitionCount]
}

// upstream returns the state of an upstream, or nil if the upstream is unknown.
func (s *Server) upstream(name string) *upstream {
	u, _ := s.upstreams.Load(name)
	up, _ := u.(*upstream)
	return up
}

func (s *Server) eachUpstream(f func(*upstream)) {
	s.upstreams.Range(func(_, v any) bool {
		f(v.(*upstream))
		return true
	})
}

// uniqueName returns a name that is unique among the requests and attempts of all
// nodes.
func (s *Server) uniqueName() string {
	v := s.members.View()
	return v.Self + ":" + strconv.FormatUint(v.Incarnation, 36) + ":" + strconv.FormatUint(s.nameCounter.Add(1), 36)
}

// wake wakes the loop that receives from c. It does nothing if a wake-up is
// already pending.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sleep waits for d and returns true, or returns false as soon as the server is
// closed.
func (s *Server) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.ctx.Done():
		return false
	}
}
