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

// Handler returns the HTTP API of the backend server, with the calls that inject faults and restart it.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.POST("/v1/tasks", s.postTask)
	e.POST("/v1/leases", s.postLeases)
	for _, a := range []action{stop, checkpoint, throttle} {
		e.POST("/v1/tasks/:id/"+string(a), func(c echo.Context) error { return s.postSignal(c, a) })
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
	running, ctx, reason := s.admit(c.Request().Context(), t)
	if reason != "" {
		return refuse(c, t, reason)
	}
	body, err := s.runTask(ctx, running)
	f := s.currentFaults()
	if lateErr := sleep(c.Request().Context(), f.Late); lateErr != nil {
		return lateErr
	}
	if f.Cross {
		t.ID = "crossed-" + t.ID
		body = []byte("the answer of another task")
	}
	if f.Drop || f.Truncate {
		return breakConnection(c, t, body, f.Truncate)
	}
	if f.Corrupt && err == nil {
		return send(c, t, http.StatusOK, backend.Digest(body), corrupted(body))
	}
	return respond(c, t, body, err)
}

func (s *Server) getStatus(c echo.Context) error {
	if c.QueryParam("tasks") == "true" {
		return c.JSON(http.StatusOK, s.laggedStatus())
	}
	return c.JSON(http.StatusOK, s.summary())
}

// laggedStatus returns the status with the running tasks as they were Options.UsageLag ago: tasks that started later are missing.
func (s *Server) laggedStatus() backend.Status {
	st := s.Status()
	var visible []backend.TaskStatus
	for _, t := range st.Running {
		t.RunTime -= s.options.UsageLag
		if t.RunTime >= 0 {
			visible = append(visible, t)
		}
	}
	st.Running = visible
	return st
}

// summary returns the status without the list of running tasks and the counts by holder.
func (s *Server) summary() backend.Status {
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
	return sendBody(c, t, http.StatusServiceUnavailable, nil)
}

// respond sends the result of a task: its body, its checkpoint, or the reason of its failure.
func respond(c echo.Context, t backend.Task, body []byte, err error) error {
	var checkpoint *backend.Checkpoint
	switch {
	case errors.As(err, &checkpoint):
		return sendBody(c, t, http.StatusAccepted, checkpoint.State)
	case err != nil:
		c.Response().Header().Set(backend.HeaderReason, err.Error())
		return sendBody(c, t, http.StatusInternalServerError, nil)
	}
	return sendBody(c, t, http.StatusOK, body)
}

// corrupted returns a body of the same length with different bytes.
func corrupted(body []byte) []byte { return bytes.Repeat([]byte{'x'}, len(body)) }

func sendBody(c echo.Context, t backend.Task, status int, body []byte) error {
	return send(c, t, status, backend.Digest(body), body)
}

func send(c echo.Context, t backend.Task, status int, digest string, body []byte) error {
	h := c.Response().Header()
	h.Set(backend.HeaderTaskID, t.ID)
	h.Set(backend.HeaderDigest, digest)
	h.Set(echo.HeaderContentLength, strconv.Itoa(len(body)))
	return c.Blob(status, echo.MIMEOctetStream, body)
}

// breakConnection closes the connection without a response, or after half of the body if truncate is set.
func breakConnection(c echo.Context, t backend.Task, body []byte, truncate bool) error {
	conn, buf, err := http.NewResponseController(c.Response().Writer).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	if !truncate {
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
	return c.JSON(http.StatusOK, s.summary())
}

func (s *Server) postSignal(c echo.Context, a action) error {
	var r backend.TaskRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	s.signal(c.Param("id"), r, a)
	return c.JSON(http.StatusOK, s.summary())
}

func (s *Server) postDraining(c echo.Context, draining bool) error {
	var r backend.PhaseRequest
	if err := c.Bind(&r); err != nil {
		return err
	}
	s.setDraining(r.Epoch, draining)
	return c.JSON(http.StatusOK, s.summary())
}

// postReboot stands for a reboot of the VM by the platform: the server restarts.
func (s *Server) postReboot(c echo.Context) error {
	s.restart()
	return c.JSON(http.StatusOK, s.summary())
}

func (s *Server) postFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.JSON(http.StatusOK, s.summary())
}

// Listener serves a backend server on a TCP address.
type Listener struct {
	server *http.Server
	ln     net.Listener
}

// Listen starts to serve a backend server on an address, such as 127.0.0.1:0.
func Listen(address string, s *Server) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Wrapf(err, "listen on %s", address)
	}
	l := &Listener{server: &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}, ln: ln}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

// Addr returns the address of the listener.
func (l *Listener) Addr() string { return l.ln.Addr().String() }

// Close stops the listener at once and breaks all connections, as a crash would.
func (l *Listener) Close() error { return l.server.Close() }

// Shutdown stops the listener after the open requests have been answered.
func (l *Listener) Shutdown(ctx context.Context) error { return l.server.Shutdown(ctx) }
