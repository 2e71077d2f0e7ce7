package loopback

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// link is a connection-level proxy that stands for the network between two parties.
// While it is cut, connections hang: nothing passes, and nothing is refused.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

// newLink opens a link to an address on a free port.
func newLink(to string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: to, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go l.proxy(conn)
		}
	}
}

// proxy connects one accepted connection and copies both ways.
func (l *link) proxy(near net.Conn) {
	if !l.register(near) {
		return
	}
	far, err := net.Dial("tcp4", l.target)
	if err != nil {
		l.closeConn(near)
		return
	}
	if !l.register(far) {
		l.closeConn(near)
		return
	}
	copyOneWay := func(to, from net.Conn) {
		_, _ = io.Copy(linkWriter{l, to}, from) // either side's end ends both
		l.closeConn(near)
		l.closeConn(far)
	}
	go copyOneWay(far, near)
	copyOneWay(near, far)
}

// register notes an open connection. On a cut link it stays open and carries nothing.
func (l *link) register(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return !l.isCut
}

func (l *link) closeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

// setCut cuts the link, or mends it. What hung on it is reset then.
func (l *link) setCut(is bool) {
	l.mu.Lock()
	was := l.isCut
	l.isCut = is
	var open []net.Conn
	if was && !is {
		for c := range l.conns {
			open = append(open, c)
		}
	}
	l.mu.Unlock()
	for _, c := range open {
		l.closeConn(c)
	}
}

func (l *link) close() {
	l.listener.Close()
	l.setCut(true)
	l.setCut(false)
}

// linkWriter writes to a connection as long as the link is not cut, and swallows what is
// written after.
type linkWriter struct {
	link *link
	conn net.Conn
}

func (p linkWriter) Write(b []byte) (int, error) {
	p.link.mu.Lock()
	isCut := p.link.isCut
	p.link.mu.Unlock()
	if isCut {
		return len(b), nil
	}
	return p.conn.Write(b)
}

// links are the links of a deployment's controllers.
type links struct {
	peers [][]*link // from one controller to another; nil to itself
	store []*link   // from a controller to the state service
}

func newLinks(b testing.TB, controllers int) *links {
	l := &links{}
	open := func(to string) *link {
		x, err := newLink(to)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(x.close)
		return x
	}
	for from := range controllers {
		l.store = append(l.store, open(storeAddr()))
		l.peers = append(l.peers, make([]*link, controllers))
		for to := range controllers {
			if to != from {
				l.peers[from][to] = open(peerAddress(to))
			}
		}
	}
	return l
}

// setInboundCut cuts other controllers' calls to one, or mends them.
func (l *links) setInboundCut(to int, is bool) {
	for from := range l.peers {
		if from != to {
			l.peers[from][to].setCut(is)
		}
	}
}

// setOutboundCut cuts a controller's calls to the others, or mends them.
func (l *links) setOutboundCut(from int, is bool) {
	for to, x := range l.peers[from] {
		if to != from {
			x.setCut(is)
		}
	}
}
