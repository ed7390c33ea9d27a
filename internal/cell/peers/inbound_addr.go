package peers

import "net"

// inboundAddr is the address of a connection of another node, by which a call finds the
// connection.
type inboundAddr struct {
	net.Addr
	conn *inboundConn
}
