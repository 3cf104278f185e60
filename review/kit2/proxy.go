package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes connections on to one address. It can make all open connections silent for good, without a reset, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links map[*link]bool
}

// link is a pair of connections.
type link struct {
	mu     sync.Mutex
	silent bool
}

func newProxy(target string) *proxy {
	p := &proxy{listener: listen(), target: target, links: map[*link]bool{}}
	go p.serve()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{}
		p.mu.Lock()
		p.links[l] = true
		p.mu.Unlock()
		go p.copy(l, near, far)
		go p.copy(l, far, near)
	}
}

// copy passes bytes on until the link is silent. It then drops them, and the end of the connection with them.
func (p *proxy) copy(l *link, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		if !silent && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		l.mu.Unlock()
		if err != nil {
			p.mu.Lock()
			delete(p.links, l)
			p.mu.Unlock()
			if !silent && err == io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}

// silence makes all open connections silent, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.links)
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
		delete(p.links, l)
	}
	return n
}
