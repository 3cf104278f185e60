// Package kernel starts and stops the services of a process. A service registers by name with the names of the services
// it needs, and finds them by name and type.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"sync"

	"github.com/oklog/run"

	"example.org/comfreyrouter/errkind"
)

// Runner is implemented by services that work until they are stopped. Run returns when ctx ends; if it returns earlier,
// with or without an error, the whole kernel stops.
type Runner interface {
	Run(ctx context.Context) error
}

// Service describes one service.
type Service struct {
	Name      string
	DependsOn []string
	// New builds the service, for example opens its listener. The services it needs have been built. A value that is a
	// Runner is run, and a value that is an io.Closer is closed after its Run and after everything that needs it.
	New func(Lookup) (any, error)
}

// Lookup finds the services that were built. New gets one that knows only the services it needs, so that an undeclared
// need fails at once instead of working by chance of the order.
type Lookup interface {
	lookup(name string) (any, bool)
}

// Get returns the service of a name if it was built and has the type T.
func Get[T any](l Lookup, name string) (T, error) {
	var zero T
	value, ok := l.lookup(name)
	if !ok {
		return zero, errkind.New(errkind.Internal, "service %q is not built or not among the declared needs", name)
	}
	typed, ok := value.(T)
	if !ok {
		return zero, errkind.New(errkind.Internal, "service %q is a %T and not a %s", name, value, reflect.TypeFor[T]())
	}
	return typed, nil
}

// Kernel holds the services of a process. Register everything, then call Run once.
type Kernel struct {
	services map[string]Service
	names    []string // in order of registration
	mu       sync.Mutex
	built    values
}

type values map[string]any

func (v values) lookup(name string) (any, bool) {
	value, ok := v[name]
	return value, ok
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{services: map[string]Service{}, built: values{}} }

func (k *Kernel) lookup(name string) (any, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.built.lookup(name)
}

// Register adds a service. Its needs may be registered later.
func (k *Kernel) Register(s Service) error {
	if s.Name == "" || s.New == nil {
		return errkind.New(errkind.Internal, "a service needs a name and a New function")
	}
	if _, ok := k.services[s.Name]; ok {
		return errkind.New(errkind.Internal, "service %q is registered twice", s.Name)
	}
	k.services[s.Name] = s
	k.names = append(k.names, s.Name)
	return nil
}

// Run builds the services in the order of their needs and runs them until ctx ends or one of them returns. Then it stops
// them in reverse order, each one only after everything that needs it has ended. It returns nil after a stop by ctx, and
// otherwise the errors of all services.
func (k *Kernel) Run(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	for i, name := range order {
		if err := k.build(name); err != nil {
			return errors.Join(err, k.closeAll(order[:i]))
		}
	}
	return k.runAll(ctx, order)
}

// order returns the names so that each one comes after its needs.
func (k *Kernel) order() ([]string, error) {
	o := &ordering{services: k.services, state: map[string]visit{}}
	for _, name := range k.names {
		if err := o.visit(name, nil); err != nil {
			return nil, err
		}
	}
	return o.order, nil
}

type visit int

const (
	entered visit = iota + 1
	finished
)

type ordering struct {
	services map[string]Service
	state    map[string]visit
	order    []string
}

func (o *ordering) visit(name string, path []string) error {
	switch o.state[name] {
	case finished:
		return nil
	case entered:
		return errkind.New(errkind.Internal, "services need each other in a cycle: %v", append(path, name))
	}
	o.state[name] = entered
	path = append(slices.Clone(path), name)
	for _, need := range o.services[name].DependsOn {
		if _, ok := o.services[need]; !ok {
			return errkind.New(errkind.Internal, "service %q needs %q, which is not registered", name, need)
		}
		if err := o.visit(need, path); err != nil {
			return err
		}
	}
	o.state[name] = finished
	o.order = append(o.order, name)
	return nil
}

func (k *Kernel) build(name string) error {
	s := k.services[name]
	needs := values{}
	for _, need := range s.DependsOn {
		needs[need], _ = k.lookup(need)
	}
	value, err := s.New(needs)
	if err != nil {
		return fmt.Errorf("service %q: %w", name, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.built[name] = value
	return nil
}

// closeAll closes the services of order in reverse.
func (k *Kernel) closeAll(order []string) error {
	var errs []error
	for _, name := range slices.Backward(order) {
		errs = append(errs, k.close(name))
	}
	return errors.Join(errs...)
}

func (k *Kernel) close(name string) error {
	value, _ := k.lookup(name)
	closer, ok := value.(io.Closer)
	if !ok {
		return nil
	}
	if err := closer.Close(); err != nil {
		return fmt.Errorf("service %q: %w", name, err)
	}
	return nil
}

// runAll runs the built services as actors of one group. The group interrupts its actors one after another in the order in
// which they were added, so adding them in reverse and waiting in each interrupt gives the order of the stop.
func (k *Kernel) runAll(ctx context.Context, order []string) error {
	var g run.Group
	var errs []error // written by the interrupts only, which the group calls one after another
	stopped, stop := context.WithCancel(ctx)
	defer stop()
	g.Add(func() error {
		<-stopped.Done()
		return nil
	}, func(error) { stop() })
	for _, name := range slices.Backward(order) {
		a := k.newActor(ctx, name)
		g.Add(a.execute, func(error) { errs = append(errs, a.interrupt()) })
	}
	// The group's error is one of those that the interrupts collect.
	_ = g.Run()
	return errors.Join(errs...)
}

// actor is one running service.
type actor struct {
	kernel *Kernel
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed after err was set
	err    error
}

// newActor gives a service its own context, which outlives ctx, because the service ends in its turn only.
func (k *Kernel) newActor(ctx context.Context, name string) *actor {
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &actor{kernel: k, name: name, ctx: own, cancel: cancel, done: make(chan struct{})}
}

func (a *actor) execute() error {
	defer close(a.done)
	value, _ := a.kernel.lookup(a.name)
	runner, ok := value.(Runner)
	if !ok {
		<-a.ctx.Done()
		return nil
	}
	a.err = a.judge(runner.Run(a.ctx))
	return a.err
}

// judge returns the error of a service that ended: ending unasked is one too, ending by its context is none.
func (a *actor) judge(err error) error {
	asked := a.ctx.Err() != nil
	switch {
	case err == nil && asked, errors.Is(err, context.Canceled) && asked:
		return nil
	case err == nil:
		return errkind.New(errkind.Internal, "service %q ended unasked", a.name)
	}
	return fmt.Errorf("service %q: %w", a.name, err)
}

// interrupt stops the service, waits for its end and closes it.
func (a *actor) interrupt() error {
	a.cancel()
	<-a.done
	return errors.Join(a.err, a.kernel.close(a.name))
}
