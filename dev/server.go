package dev

import (
	"sync"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/internal/standin/backendserver"
)

// serverProcess is a stand-in for a backend server that can be killed and started again at the same address.
type serverProcess struct {
	name    string
	slots   int
	onStart func(server string, t backend.Task)

	mu       sync.Mutex
	address  string
	server   *backendserver.Server
	listener *backendserver.Listener
}

func (s *serverProcess) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := backendserver.Options{Name: s.name, Slots: s.slots}
	if s.onStart != nil {
		o.OnStart = func(t backend.Task) { s.onStart(s.name, t) }
	}
	server := backendserver.New(o)
	listener, err := backendserver.Listen(s.address, server)
	if err != nil {
		return err
	}
	s.address, s.server, s.listener = listener.Addr(), server, listener
	return nil
}

// kill closes all connections and ends all tasks at once, without a graceful shutdown. It does nothing on a stopped server.
func (s *serverProcess) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.server.Kill()
	s.listener = nil
}
