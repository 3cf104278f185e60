// Package kernel starts and stops the services of a process in the order of their dependencies. A service is registered under a
// name, with the names of the services on which it depends, and looks these up by name and type.
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

// Runner is implemented by services that run until they are stopped. Run returns when ctx is done. If it returns earlier, with or
// without an error, the kernel stops all services.
type Runner interface {
	Run(ctx context.Context) error
}

// Service describes one service.
type Service struct {
	Name      string
	DependsOn []string
	// New builds the service, for example opens its listener. The services on which it depends have already been built. If
	// the returned value is a Runner, it is run. If it is an io.Closer, it is closed after its Run has returned and after all
	// services that depend on it have been closed.
	New func(Lookup) (any, error)
}

// Lookup gives access to the services that have been built. The one passed to New contains only the declared dependencies, so that
// an undeclared dependency always fails instead of depending on the order in which services are built.
type Lookup interface {
	lookup(name string) (any, bool)
}

// Get returns the service with the given name. It fails if the service has not been built or doesn't have the type T.
func Get[T any](l Lookup, name string) (T, error) {
	var zero T
	value, ok := l.lookup(name)
	if !ok {
		return zero, errkind.New(errkind.Internal, "service %q is not built or not among the declared dependencies", name)
	}
	typed, ok := value.(T)
	if !ok {
		return zero, errkind.New(errkind.Internal, "service %q is a %T and not a %s", name, value, reflect.TypeFor[T]())
	}
	return typed, nil
}

// Kernel holds the services of a process. Register all services, then call Run once.
type Kernel struct {
	services map[string]Service
	names    []string // in order of registration
	mu       sync.Mutex
	built    serviceValues
}

type serviceValues map[string]any

func (v serviceValues) lookup(name string) (any, bool) {
	value, ok := v[name]
	return value, ok
}

// New returns an empty kernel.
func New() *Kernel { return &Kernel{services: map[string]Service{}, built: serviceValues{}} }

func (k *Kernel) lookup(name string) (any, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.built.lookup(name)
}

// Register adds a service. The services on which it depends may be registered later.
func (k *Kernel) Register(s Service) error {
	if s.Name == "" || s.New == nil {
		return errkind.New(errkind.Internal, "a service must have a name and a New function")
	}
	if _, ok := k.services[s.Name]; ok {
		return errkind.New(errkind.Internal, "service %q is registered twice", s.Name)
	}
	k.services[s.Name] = s
	k.names = append(k.names, s.Name)
	return nil
}

// Run builds the services in the order of their dependencies and runs them until ctx is done or one of them returns. It then stops
// them in reverse order, each one only after all services that depend on it have ended. It returns the joined errors of all
// services, which is nil if all of them ran until ctx was done and stopped without an error.
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

// order returns the names in an order in which each one comes after its dependencies.
func (k *Kernel) order() ([]string, error) {
	o := &topologicalSort{services: k.services, state: map[string]visitState{}}
	for _, name := range k.names {
		if err := o.visit(name, nil); err != nil {
			return nil, err
		}
	}
	return o.order, nil
}

type visitState int

const (
	visiting visitState = iota + 1
	visited
)

type topologicalSort struct {
	services map[string]Service
	state    map[string]visitState
	order    []string
}

func (o *topologicalSort) visit(name string, path []string) error {
	switch o.state[name] {
	case visited:
		return nil
	case visiting:
		return errkind.New(errkind.Internal, "services depend on each other in a cycle: %v", append(path, name))
	}
	o.state[name] = visiting
	path = append(slices.Clone(path), name)
	for _, dependency := range o.services[name].DependsOn {
		if _, ok := o.services[dependency]; !ok {
			return errkind.New(errkind.Internal, "service %q depends on %q, which is not registered", name, dependency)
		}
		if err := o.visit(dependency, path); err != nil {
			return err
		}
	}
	o.state[name] = visited
	o.order = append(o.order, name)
	return nil
}

func (k *Kernel) build(name string) error {
	s := k.services[name]
	dependencies := serviceValues{}
	for _, dependency := range s.DependsOn {
		dependencies[dependency], _ = k.lookup(dependency)
	}
	value, err := s.New(dependencies)
	if err != nil {
		return fmt.Errorf("service %q: %w", name, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.built[name] = value
	return nil
}

// closeAll closes the services in the reverse of the given order.
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

// runAll runs the built services as actors of one group. The group interrupts its actors one after another in the order in which
// they were added. The actors are therefore added in reverse order, and each interrupt waits until its service has ended.
func (k *Kernel) runAll(ctx context.Context, order []string) error {
	var g run.Group
	var errs []error // written only by the interrupts, which the group calls sequentially
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
	// The error of the group is among the errors that the interrupts collect.
	_ = g.Run()
	return errors.Join(errs...)
}

// actor is one running service.
type actor struct {
	kernel *Kernel
	name   string
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed after err has been set
	err    error
}

// newActor returns the actor of a service. Its context isn't cancelled with ctx, because services are stopped in order.
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
	a.err = a.exitError(runner.Run(a.ctx))
	return a.err
}

// exitError returns the error of a service whose Run has returned err. It is nil if the service ended because it was stopped. A
// return without an error before that is an error, too.
func (a *actor) exitError(err error) error {
	stopped := a.ctx.Err() != nil
	switch {
	case err == nil && stopped, errors.Is(err, context.Canceled) && stopped:
		return nil
	case err == nil:
		return errkind.New(errkind.Internal, "service %q ended without being stopped", a.name)
	}
	return fmt.Errorf("service %q: %w", a.name, err)
}

// interrupt stops the service, waits until its Run has returned and closes it.
func (a *actor) interrupt() error {
	a.cancel()
	<-a.done
	return errors.Join(a.err, a.kernel.close(a.name))
}
