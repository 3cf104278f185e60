// Package operatorapi serves the operators' HTTP interface of an entry VM. Reads are answered from the VM's own state;
// changes go through the platform's log.
package operatorapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"example.org/comfreyrouter/errkind"
	"example.org/comfreyrouter/events"
	"example.org/comfreyrouter/fleet"
	"example.org/comfreyrouter/logclient"
)

// StatusSource reports the status of the answering entry VM.
type StatusSource interface {
	NodeStatus() NodeStatus
}

// KeyWithdrawer withdraws keys on this VM without the log, so that a withdrawal takes effect at once and also while the log is unavailable.
// The implementation passes withdrawals on to the peers by heartbeat.
type KeyWithdrawer interface {
	Withdraw(keyID string)
}

// Options holds the dependencies and settings of a Server. The first four fields are required.
type Options struct {
	Store         *fleet.Store
	Submitter     logclient.Submitter
	Status        StatusSource
	KeyWithdrawer KeyWithdrawer
	// TokenSHA256 is the SHA-256 of the operators' token in hexadecimal. If it is empty, calls need no token.
	TokenSHA256 string
	// SubmitTimeout bounds the wait for the log; 0 means DefaultSubmitTimeout.
	SubmitTimeout time.Duration
	// OnRefused is called with the error kind of each call that fails; may be nil.
	OnRefused func(errkind.Kind)
	Logger    zerolog.Logger
}

const (
	// DefaultSubmitTimeout is less than the 14 s within which a change has to be in force on all VMs.
	DefaultSubmitTimeout = 10 * time.Second
	// maxBodyBytes is many times the size of the declarations of 600 backend servers, at about 250 bytes each.
	maxBodyBytes = 4 << 20
	// maxIDBytes bounds the length of change ids, because the fold remembers them.
	maxIDBytes = 128
	// CloseTimeout is how long a planned stop waits for calls in progress.
	CloseTimeout = DefaultSubmitTimeout + time.Second
)

// Server is the operators' HTTP interface of one entry VM.
type Server struct {
	options Options
	echo    *echo.Echo
}

// New returns a Server with all its routes.
func New(o Options) *Server {
	if o.SubmitTimeout == 0 {
		o.SubmitTimeout = DefaultSubmitTimeout
	}
	if o.OnRefused == nil {
		o.OnRefused = func(errkind.Kind) {}
	}
	s := &Server{options: o, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = s.answerError
	s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

func (s *Server) routes() {
	v1 := s.echo.Group("/v1", s.authenticate)
	v1.GET("/config", s.config)
	v1.GET("/presets", s.presets)
	v1.GET("/presets/:name", s.preset)
	v1.POST("/presets/:name/use", s.usePreset)
	v1.GET("/keys", s.keys)
	v1.POST("/keys", s.addKey)
	v1.POST("/keys/:name/withdraw", s.withdrawKey)
	v1.GET("/teams", s.teams)
	v1.PUT("/teams/:name", s.setTeam)
	v1.GET("/pools", s.pools)
	v1.GET("/vms", s.vms)
	v1.POST("/moves", s.startMove)
	v1.POST("/moves/:name/abandon", s.abandonMove)
	v1.GET("/waves", s.waves)
	v1.POST("/waves", s.planWave)
	v1.POST("/waves/:name/start", s.startWave)
	v1.POST("/waves/:name/pause", s.pauseWave)
	v1.GET("/status", s.status)
	v1.POST("/apply", s.apply)
}

func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := CheckToken(c.Request(), s.options.TokenSHA256); err != nil {
			return err
		}
		return next(c)
	}
}

func (s *Server) answerError(err error, c echo.Context) {
	f := FailureOf(err)
	s.options.OnRefused(f.Kind)
	events.Log(s.options.Logger, events.OperatorRefused, f.Kind, f.Message)
	if c.Response().Committed {
		return
	}
	// A failed write means that the client has disconnected, so there is nobody to report it to.
	_ = c.JSON(errkind.Lookup(f.Kind).Status, f)
}

// FailureOf returns the failure that is sent to an operator for an error.
func FailureOf(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	var h *echo.HTTPError
	if errors.As(err, &h) {
		return routerFailure(h)
	}
	kind := errkind.Of(err)
	message := strings.TrimPrefix(err.Error(), string(kind)+": ")
	return &Failure{Kind: kind, Message: message}
}

// routerFailure converts the errors of the router: an unknown path or method.
func routerFailure(h *echo.HTTPError) *Failure {
	switch h.Code {
	case http.StatusNotFound:
		return &Failure{Kind: errkind.NotFound, Message: "no such path"}
	case http.StatusMethodNotAllowed:
		return &Failure{Kind: errkind.BadRequest, Message: "the path does not take this method"}
	}
	return &Failure{Kind: errkind.Internal, Message: h.Error()}
}

// decodeBody decodes the body strictly, so that a misspelled field is an error and not treated as an omitted one.
func decodeBody(c echo.Context, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.BodyTooLarge, "the body is over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return errkind.New(errkind.BadRequest, "the body is not valid: %s", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.BadRequest, "the body has more than one value")
	}
	return nil
}

// pathName returns the parameter :name of the path, unescaped. The router leaves it escaped if the path contains escapes.
func pathName(c echo.Context) (string, error) {
	value := c.Param("name")
	if c.Request().URL.RawPath == "" {
		return value, nil
	}
	plain, err := url.PathUnescape(value)
	if err != nil {
		return "", errkind.New(errkind.BadRequest, "the path is not valid: %s", err)
	}
	return plain, nil
}
