package peers

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// unackedTimeout is how long data may stay unacknowledged until a connection ends. The
// gRPC library sets it only on connections that are not wrapped.
const unackedTimeout = 20 * time.Second

// inboundListener accepts the connections of other nodes.
type inboundListener struct {
	net.Listener
	inbound *Inbound
}

// Accept implements net.Listener. It closes new connections while none of the open ones
// can give way.
func (l *inboundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		setUnackedTimeout(conn)
		c := &inboundConn{Conn: conn, inbound: l.inbound, streams: map[uint32]incomingStream{}}
		if l.inbound.Connections.Add(c) {
			return c, nil
		}
	}
}

func setUnackedTimeout(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())) // without it a broken connection ends later
	})
}
