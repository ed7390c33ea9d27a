package logsvc

import "github.com/medlarpulley/medlarpulley/internal/standin/wire"

// Server serves a Service over HTTP.
type Server struct {
	*Service
	*wire.Server
}

// Serve starts a server at an address; an empty one means a port of the loopback
// interface that the kernel chooses. Close stops the server. Serve returns an
// error if it cannot create the router or listen on the address.
func Serve(s *Service, address string) (*Server, error) {
	server, err := wire.Serve("standin-log", s.routes(), address)
	if err != nil {
		return nil, err
	}
	return &Server{Service: s, Server: server}, nil
}
