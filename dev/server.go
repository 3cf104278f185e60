package dev

import (
	"sync"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/internal/standin/backendserver"
)

// worker is a stand-in backend server that can be killed and started again at its address.
type worker struct {
	name    string
	slots   int
	onStart func(server string, t backend.Task)

	mu       sync.Mutex
	address  string
	server   *backendserver.Server
	listener *backendserver.Listener
}

func (w *worker) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := backendserver.Options{Name: w.name, Slots: w.slots}
	if w.onStart != nil {
		o.OnStart = func(t backend.Task) { w.onStart(w.name, t) }
	}
	server := backendserver.New(o)
	listener, err := backendserver.Listen(w.address, server)
	if err != nil {
		return err
	}
	w.address, w.server, w.listener = listener.Addr(), server, listener
	return nil
}

// kill ends all tasks and connections at once.
func (w *worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	_ = w.listener.Close()
	w.server.Kill()
	w.listener = nil
}
