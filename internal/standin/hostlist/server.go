package hostlist

import "github.com/medlarpulley/medlarpulley/internal/standin/wire"

// Server serves a Service over HTTP on a loopback address.
type Server struct {
	*Service
	*wire.Server
}

// Serve starts a server. An empty address stands for a port of loopback that
// the kernel chooses. Close ends it.
func Serve(s *Service, address string) (*Server, error) {
	server, err := wire.Serve("standin-hosts", s.routes(), address)
	if err != nil {
		return nil, err
	}
	return &Server{Service: s, Server: server}, nil
}
