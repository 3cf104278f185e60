package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"example.org/comfreyrouter/logclient"
)

const (
	// maxAppendBytes limits the body of an append.
	maxAppendBytes = 16 << 20
	// maxWait limits how long a read waits for records.
	maxWait = time.Minute
	// readHeaderTimeout limits the time that a caller takes to send the headers of a request.
	readHeaderTimeout = 10 * time.Second
)

// Server serves a Core over HTTP.
type Server struct {
	core     *Core
	listener net.Listener
	http     *http.Server
	served   chan struct{}
}

// Listen serves core on address, such as 127.0.0.1:0, until Close.
func Listen(address string, core *Core) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, core), nil
}

// Serve serves core on a listener until Close.
func Serve(listener net.Listener, core *Core) *Server {
	s := &Server{
		core:     core,
		listener: listener,
		http:     &http.Server{Handler: Handler(core), ReadHeaderTimeout: readHeaderTimeout},
		served:   make(chan struct{}),
	}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(listener)
	}()
	return s
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close closes the core and the server, and waits until serving has ended.
func (s *Server) Close() error {
	s.core.Close()
	err := s.http.Close()
	<-s.served
	return err
}

// Handler returns the HTTP API of core.
func Handler(core *Core) http.Handler {
	h := &handler{core: core}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.POST("/v1/log/append", h.append)
	e.GET("/v1/log/read", h.read)
	e.GET("/v1/vms", h.vms)
	e.POST("/v1/vms/:name/reboot", h.reboot)
	e.GET("/v1/faults", h.faults)
	e.POST("/v1/faults", h.setFaults)
	return e
}

type handler struct{ core *Core }

func callerOf(c echo.Context) Caller {
	header := c.Request().Header
	return Caller{Name: header.Get(logclient.HeaderCaller), DataCentre: header.Get(logclient.HeaderDataCentre)}
}

func (h *handler) append(c echo.Context) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxAppendBytes)
	data, err := io.ReadAll(body)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	offset, err := h.core.Append(c.Request().Context(), callerOf(c), data)
	if err != nil {
		return httpError(err)
	}
	return c.JSON(http.StatusOK, logclient.AppendReply{Offset: offset})
}

func (h *handler) read(c echo.Context) error {
	from, err := strconv.ParseUint(c.QueryParam("from"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "from is not an offset")
	}
	limit, err := optionalInt(c, "max")
	if err != nil {
		return err
	}
	waitMillis, err := optionalInt(c, "wait_ms")
	if err != nil {
		return err
	}
	wait := min(millis(waitMillis), maxWait)
	page, err := h.core.Read(c.Request().Context(), callerOf(c), from, limit, wait)
	if err != nil {
		return httpError(err)
	}
	return c.JSON(http.StatusOK, page)
}

func optionalInt(c echo.Context, name string) (int, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, name+" is not a number")
	}
	return n, nil
}

func (h *handler) vms(c echo.Context) error {
	list, err := h.core.VMs(c.Request().Context(), callerOf(c))
	if err != nil {
		return httpError(err)
	}
	return c.JSON(http.StatusOK, list)
}

func (h *handler) reboot(c echo.Context) error {
	if err := h.core.Reboot(c.Request().Context(), callerOf(c), c.Param("name"), c.QueryParam("key")); err != nil {
		return httpError(err)
	}
	return c.NoContent(http.StatusAccepted)
}

func (h *handler) faults(c echo.Context) error { return c.JSON(http.StatusOK, h.core.Faults()) }

func (h *handler) setFaults(c echo.Context) error {
	var f Faults
	if err := c.Bind(&f); err != nil {
		return err
	}
	h.core.SetFaults(f)
	return c.JSON(http.StatusOK, h.core.Faults())
}

// httpError returns the HTTP error for an error of the core. For a lost answer or a cancelled call it panics with http.ErrAbortHandler, which breaks
// the connection as a partition would.
func httpError(err error) error {
	switch {
	case errors.Is(err, ErrAnswerLost), errors.Is(err, context.Canceled):
		panic(http.ErrAbortHandler)
	case errors.Is(err, ErrOutage), errors.Is(err, ErrClosed):
		return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
	}
	return echo.NewHTTPError(http.StatusBadGateway, err.Error())
}
