package soak

import (
	"net"
	"sync"
)

// door keeps the port of a server for all of its processes. While none listens, it breaks off the connections that arrive.
type door struct {
	listener net.Listener

	mu   sync.Mutex
	open *doorListener // nil while no process listens
}

// doorListener is the listener of one process of a server.
type doorListener struct {
	door   *door
	conns  chan net.Conn
	closed chan struct{}
}

func newDoor(l net.Listener) *door {
	d := &door{listener: l}
	go d.accept()
	return d
}

// accept hands each connection to the process that listens, until the door is closed.
func (d *door) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		open := d.open
		d.mu.Unlock()
		if open == nil {
			_ = conn.Close() // nobody listens
			continue
		}
		select {
		case open.conns <- conn:
		case <-open.closed:
			_ = conn.Close() // the process has ended
		}
	}
}

// listen returns the listener of the next process.
func (d *door) listen() net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open = &doorListener{d, make(chan net.Conn), make(chan struct{})}
	return d.open
}

// close gives up the port.
func (d *door) close() { _ = d.listener.Close() }

// Accept returns the next connection, or net.ErrClosed once the process has ended.
func (l *doorListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the process's part. The port stays open.
func (l *doorListener) Close() error {
	l.door.mu.Lock()
	defer l.door.mu.Unlock()
	if l.door.open == l {
		l.door.open = nil
		close(l.closed)
	}
	return nil
}

// Addr returns the address of the port.
func (l *doorListener) Addr() net.Addr { return l.door.listener.Addr() }
