package backendserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/samber/oops"

	"example.org/comfreyrouter/backend"
	"example.org/comfreyrouter/fleet"
)

// Handler returns the HTTP interface of the worker.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/tasks", s.postTask)
	e.POST("/v1/leases", s.postLeases)
	for _, do := range []action{stop, checkpoint, throttle} {
		e.POST("/v1/tasks/:id/"+string(do), func(c echo.Context) error { return s.postSignal(c, do) })
	}
	e.POST("/v1/drain", func(c echo.Context) error { return s.postDraining(c, true) })
	e.POST("/v1/undrain", func(c echo.Context) error { return s.postDraining(c, false) })
	e.POST("/v1/faults", s.postFaults)
	e.POST("/v1/reboot", s.postReboot)
	e.GET("/v1/status", s.getStatus)
	return e
}

func (s *Server) postTask(c echo.Context) error {
	t, err := readTask(c.Request())
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	running, ctx, reason := s.begin(c.Request().Context(), t)
	if reason != "" {
		return refuse(c, t, reason)
	}
	body, err := s.run(ctx, running)
	f := s.currentFaults()
	if late := sleep(c.Request().Context(), f.Late); late != nil {
		return late
	}
	if f.Cross {
		t.ID = "crossed-" + t.ID
		body = []byte("the answer of another task")
	}
	if f.Drop || f.Truncate {
		return breakOff(c, t, body, f.Truncate)
	}
	if f.Corrupt && err == nil {
		return send(c, t, http.StatusOK, backend.Digest(body), corrupted(body))
	}
	return answer(c, t, body, err)
}

func (s *Server) getStatus(c echo.Context) error {
	if c.QueryParam("tasks") == "true" {
		return c.JSON(http.StatusOK, s.usage())
	}
	return c.JSON(http.StatusOK, s.brief())
}

// usage returns the status with the running tasks as they were one lag ago: younger ones are missing.
func (s *Server) usage() backend.Status {
	st := s.Status()
	var seen []backend.TaskStatus
	for _, t := range st.Running {
		t.RunTime -= s.options.UsageLag
		if t.RunTime >= 0 {
			seen = append(seen, t)
		}
	}
	st.Running = seen
	return st
}

// brief returns the status without the list of tasks.
func (s *Server) brief() backend.Status {
	st := s.Status()
	st.Running, st.ByHolder = nil, nil
	return st
}

func readTask(r *http.Request) (backend.Task, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return backend.Task{}, err
	}
	h := r.Header
	fence, err1 := strconv.ParseUint(h.Get(backend.HeaderFence), 10, 64)
	epoch, err2 := strconv.ParseUint(h.Get(backend.HeaderPoolEpoch), 10, 64)
	until, err3 := strconv.ParseInt(h.Get(backend.HeaderLeaseUntil), 10, 64)
	startUntil, err4 := strconv.ParseInt(h.Get(backend.HeaderStartUntil), 10, 64)
	if err := errors.Join(err1, err2, err3, err4); err != nil {
		return backend.Task{}, oops.Wrapf(err, "read the task's headers")
	}
	return backend.Task{
		ID:         h.Get(backend.HeaderTaskID),
		Queue:      h.Get(backend.HeaderQueue),
		Team:       h.Get(backend.HeaderTeam),
		Class:      fleet.Class(h.Get(backend.HeaderClass)),
		Holder:     h.Get(backend.HeaderHolder),
		Fence:      fence,
		PoolEpoch:  epoch,
		LeaseUntil: until,
		StartUntil: startUntil,
		BootID:     h.Get(backend.HeaderBootID),
		Body:       body,
		Resume:     h.Get(backend.HeaderResume) == "true",
	}, nil
}

func refuse(c echo.Context, t backend.Task, reason refusal) error {
	c.Response().Header().Set(backend.HeaderStarted, "false")
	c.Response().Header().Set(backend.HeaderReason, string(reason))
	return write(c, t, http.StatusServiceUnavailable, nil)
}

func answer(c echo.Context, t backend.Task, body []byte, err error) error {
	var checkpoint *backend.Checkpoint
	switch {
	case errors.As(err, &checkpoint):
		return write(c, t, http.StatusAccepted, checkpoint.State)
	case err != nil:
		c.Response().Header().Set(backend.HeaderReason, err.Error())
		return write(c, t, http.StatusInternalServerError, nil)
	}
	return write(c, t, http.StatusOK, body)
}

// corrupted returns a body of the same length with other bytes.
func corrupted(body []byte) []byte { return bytes.Repeat([]byte{'x'}, len(body)) }

func write(c echo.Context, t backend.Task, status int, body []byte) error {
	return send(c, t, status, backend.Digest(body), body)
}

func send(c echo.Context, t backend.Task, status int, digest string, body []byte) error {
	h := c.Response().Header()
	h.Set(backend.HeaderTaskID, t.ID)
	h.Set(backend.HeaderDigest, digest)
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	return c.Blob(status, echo.MIMEOctetStream, body)
}

// breakOff closes the connection without an answer, or in the middle of one.
func breakOff(c echo.Context, t backend.Task, body []byte, half bool) error {
	conn, buf, err := http.NewResponseController(c.Response().Writer).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	if !half {
		return nil
	}
	_, err = buf.WriteString("HTTP/1.1 200 OK\r\n" +
		backend.HeaderTaskID + ": " + t.ID + "\r\n" +
		backend.HeaderDigest + ": " + backend.Digest(body) + "\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)+1) + "\r\n\r\n" + string(body[:len(body)/2]))
	if err != nil {
		return err
	}
	return buf.Flush()
}

func (s *Server) postLeases(c echo.Context) error {
	var r backend.LeaseRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	s.renew(r)
	return c.JSON(http.StatusOK, s.brief())
}

func (s *Server) postSignal(c echo.Context, do action) error {
	var r backend.TaskRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	s.signal(c.Param("id"), r, do)
	return c.JSON(http.StatusOK, s.brief())
}

func (s *Server) postDraining(c echo.Context, draining bool) error {
	var r backend.PhaseRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	s.setDraining(r.Epoch, draining)
	return c.JSON(http.StatusOK, s.brief())
}

// postReboot takes the place of the platform's access to a VM: the worker starts again as a new process.
func (s *Server) postReboot(c echo.Context) error {
	s.restart()
	return c.JSON(http.StatusOK, s.brief())
}

func (s *Server) postFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, s.brief())
}

// Listener serves a worker on a TCP address.
type Listener struct {
	server *http.Server
	ln     net.Listener
}

// Listen starts serving a worker on an address, such as 127.0.0.1:0.
func Listen(address string, s *Server) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	l := &Listener{server: &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}, ln: ln}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

// Addr returns the address that is served.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Close stops serving at once and breaks all connections, as a crash does.
func (l *Listener) Close() error { return l.server.Close() }

// Shutdown stops serving after the running tasks have answered.
func (l *Listener) Shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }
