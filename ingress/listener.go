package ingress

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener accepts the connections of clients. It never stops to accept: connections that are not
// accepted hold memory as well, and lock out other clients.
type listener struct {
	*net.TCPListener
	ledger *Ledger
	turns  *turns
}

func listen(addr string, ledger *Ledger) (*listener, error) {
	config := net.ListenConfig{Control: limitReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := l.(*net.TCPListener)
	limitBacklog(tcp, max(minBacklog, ledger.limits.Connections/backlogDivisor))
	return &listener{TCPListener: tcp, ledger: ledger, turns: newTurns()}, nil
}

const (
	// backlogDivisor divides the bound on connections: the quotient is how many may wait to be accepted.
	backlogDivisor = 2
	minBacklog     = 64
)

// limitBacklog limits the connections that the kernel keeps until they are accepted, with what they have
// sent. A second call of listen changes the limit.
func limitBacklog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the socket is closed, as the first Accept will tell
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.Listen(int(fd), n) // the system's limit applies otherwise
	})
}

// limitReceiveBuffer sets the receive buffer of the connections that the socket will accept.
func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) // the system's default applies otherwise
	})
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		account, err := l.ledger.Open(func() { _ = tcp.Close() }, time.Now())
		if err != nil {
			_ = tcp.Close() // it was not used
			continue
		}
		return &conn{TCPConn: tcp, account: account, turn: turn{turns: l.turns}}, nil
	}
}
