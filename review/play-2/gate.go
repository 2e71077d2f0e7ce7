package main

import (
	"net"
	"sync"
)

// gate forwards connections between two hosts. A closed gate resets the connections that are open
// and new ones. A gate that holds is an interrupted network: what is sent on open connections is
// delivered in order once the gate goes on, also if the sender has closed the connection
// meanwhile; connections that were begun meanwhile are not made if they were given up.
type gate struct {
	addr, target string
	mu           sync.Mutex
	closed       bool
	conns        map[net.Conn]bool
	held         chan struct{} // not nil: the gate holds; closed when it goes on
}

func newGate(t *trial, target string) *gate {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.fail("%v", err)
	}
	g := &gate{addr: listener.Addr().String(), target: target, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go g.forward(conn)
		}
	}()
	return g
}

func (g *gate) add(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.conns[conn] = true
	return true
}

func (g *gate) drop(conn net.Conn) {
	g.mu.Lock()
	delete(g.conns, conn)
	g.mu.Unlock()
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// wait waits while the gate holds and reports whether it did.
func (g *gate) wait() bool {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held == nil {
		return false
	}
	<-held
	return true
}

func (g *gate) forward(conn net.Conn) {
	defer g.drop(conn)
	if !g.add(conn) || g.wait() {
		return
	}
	target, err := net.Dial("tcp4", g.target)
	if err != nil {
		return
	}
	defer target.Close()
	finished := make(chan struct{}, 2)
	go func() { g.copy(target, conn); finished <- struct{}{} }()
	go func() { g.copy(conn, target); finished <- struct{}{} }()
	<-finished
}

// copy forwards bytes until one side ends.
func (g *gate) copy(to, from net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		g.wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold interrupts the gate or lets it go on.
func (g *gate) hold(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on && g.held == nil {
		g.held = make(chan struct{})
	}
	if !on && g.held != nil {
		close(g.held)
		g.held = nil
	}
}

// cut closes or opens the gate.
func (g *gate) cut(closed bool) {
	g.mu.Lock()
	g.closed = closed
	var open []net.Conn
	for conn := range g.conns {
		open = append(open, conn)
	}
	g.mu.Unlock()
	if closed {
		for _, conn := range open {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
}
