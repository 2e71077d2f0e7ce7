package loopback

import (
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"testing"
)

// link is a TCP proxy that simulates the network between two processes. While a link is
// cut, its connections hang: the proxy accepts connections but forwards no data.
type link struct {
	listener net.Listener
	target   string // address

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

// newLink opens a link to a target. The link listens on a free port.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go l.accept()
	return l, nil
}

// addr returns the address at which the link accepts connections.
func (l *link) addr() string { return l.listener.Addr().String() }

// accept accepts connections until the link is closed.
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

// proxy connects an accepted connection to the target and copies data in both directions.
func (l *link) proxy(client net.Conn) {
	if !l.register(client) {
		return
	}
	upstream, err := net.Dial("tcp4", l.target)
	if err != nil {
		l.closeConn(client)
		return
	}
	if !l.register(upstream) {
		l.closeConn(client)
		return
	}
	copyOneWay := func(to, from net.Conn) {
		_, _ = io.Copy(linkWriter{l, to}, from) // an error or the end of one connection closes both
		l.closeConn(client)
		l.closeConn(upstream)
	}
	go copyOneWay(upstream, client)
	copyOneWay(client, upstream)
}

// register records an open connection and reports whether the connection may be used. On a
// cut link, the connection stays open without being used, so that it hangs.
func (l *link) register(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return !l.isCut
}

// closeConn closes a connection and removes it from the open connections.
func (l *link) closeConn(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

// setCut cuts or repairs the link. A repair closes all connections, since they hang.
func (l *link) setCut(isCut bool) {
	l.mu.Lock()
	wasCut := l.isCut
	l.isCut = isCut
	var hanging []net.Conn
	if wasCut && !isCut {
		hanging = slices.Collect(maps.Keys(l.conns))
	}
	l.mu.Unlock()
	for _, c := range hanging {
		l.closeConn(c)
	}
}

// close closes the link and all its connections.
func (l *link) close() {
	l.listener.Close()
	l.setCut(true)
	l.setCut(false)
}

// linkWriter writes to a connection while the link is not cut. It discards the data while
// the link is cut.
type linkWriter struct {
	link *link
	conn net.Conn
}

func (w linkWriter) Write(b []byte) (int, error) {
	w.link.mu.Lock()
	isCut := w.link.isCut
	w.link.mu.Unlock()
	if isCut {
		return len(b), nil
	}
	return w.conn.Write(b)
}

// links are the links of a deployment's controllers.
type links struct {
	peers [][]*link // by index of the calling and the called controller; nil if they are the same
	store []*link   // by index of the controller that calls the store
}

// newLinks opens the links of a number of controllers. The links are closed at the end of
// the test.
func newLinks(tb testing.TB, controllers int) *links {
	tb.Helper()
	l := &links{}
	open := func(target string) *link {
		opened, err := newLink(target)
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(opened.close)
		return opened
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

// setInboundCut cuts or repairs the links from the other controllers to one controller.
func (l *links) setInboundCut(to int, isCut bool) {
	for from := range l.peers {
		if from != to {
			l.peers[from][to].setCut(isCut)
		}
	}
}

// setOutboundCut cuts or repairs the links from one controller to the other controllers.
func (l *links) setOutboundCut(from int, isCut bool) {
	for to, link := range l.peers[from] {
		if to != from {
			link.setCut(isCut)
		}
	}
}

// setIsolated cuts or repairs the links between one controller and the others, in both
// directions.
func (l *links) setIsolated(controller int, isCut bool) {
	l.setInboundCut(controller, isCut)
	l.setOutboundCut(controller, isCut)
}
