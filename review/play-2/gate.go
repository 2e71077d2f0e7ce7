package main

import (
	"io"
	"net"
	"sync"
)

// gate forwards connections from one controller to the state service. A closed gate resets the
// connections that are open and refuses new ones by a reset.
type gate struct {
	addr, target string
	mu           sync.Mutex
	closed       bool
	conns        map[net.Conn]bool
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

func (g *gate) forward(conn net.Conn) {
	defer g.drop(conn)
	if !g.add(conn) {
		return
	}
	target, err := net.Dial("tcp4", g.target)
	if err != nil {
		return
	}
	defer target.Close()
	finished := make(chan struct{}, 2)
	go func() { io.Copy(target, conn); finished <- struct{}{} }()
	go func() { io.Copy(conn, target); finished <- struct{}{} }()
	<-finished
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
