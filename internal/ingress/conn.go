package ingress

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	quiet   phase = iota // no byte of the next request has been read
	inHead               // the head of a request is being read
	inBody               // a handler has the request, and its body isn't complete
	serving              // a handler has the complete request, which can't be refused any more
)

const (
	// lingerTime and lingerBytes bound what is read from a refused client after the answer. Without that a reset would overtake the answer.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
	// writePiece is the part of an answer after which its reader counts as progressing.
	writePiece = 64 << 10
)

// past is a deadline that makes a read fail.
var past = time.Unix(1, 0)

// Conn is a guarded connection of a client.
type Conn struct {
	net.Conn
	guard *Guard

	held      atomic.Int64
	writingAt atomic.Int64 // tick since which a write waits, plus 1; 0 if none does

	mu         sync.Mutex
	phase      phase
	group      string
	isRefused  bool
	answered   bool // the refusal was answered before a handler had the request
	reason     Reason
	closed     bool
	progressAt int64 // tick of the last byte
	headAt     int64 // tick at which the head began
	bodyAt     int64 // tick at which the body began
	body       int64 // bytes of it
	head       int64 // bytes of the head, and its lines
	lines      int64
}

// Read reads, and accounts for what it has read. The connection of a refused request reads nothing more.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.mayRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.account(p[:n]) && !c.guard.fit(c) {
			return 0, c.refusal()
		}
		return n, err
	}
	if err != nil && c.refused() {
		return 0, c.refusal()
	}
	return n, err
}

// mayRead returns an error if the request is refused. A head that has reached its limit is refused before more of it is read, so that nothing but the head
// counts: all reads but the last one of a head contain only the head.
func (c *Conn) mayRead() error {
	c.mu.Lock()
	limit := c.guard.headerBytes.Load()
	tooLarge := c.phase == inHead && (c.head > limit || c.lines > limit/shortestLine)
	refused := c.isRefused
	c.mu.Unlock()
	if tooLarge {
		c.refuse(HeadTooLarge)
		refused = true
	}
	if refused {
		return c.refusal()
	}
	return nil
}

// account adds what was read to what the connection holds, and reports whether the budget is exceeded and the request may still be refused.
func (c *Conn) account(data []byte) (exceeded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := int64(len(data))
	c.progressAt = c.guard.now.Load()
	cost := n * costOfBodyByte
	switch c.phase {
	case quiet, inHead:
		if c.phase == quiet {
			c.headAt = c.progressAt
		}
		c.phase = inHead
		lines := int64(bytes.Count(data, []byte{'\n'}))
		c.head += n
		c.lines += lines
		cost = n*costOfHeadByte + lines*costOfLine
	case inBody:
		c.body += n
	case serving:
	}
	return c.hold(cost) && c.phase != serving
}

// hold adds to what the connection holds, and reports whether the budget is exceeded.
func (c *Conn) hold(cost int64) (exceeded bool) {
	c.held.Add(cost)
	budget := c.guard.budget.Load()
	return c.guard.held.Add(cost) > budget && budget > 0
}

// refusal returns the error of reading from a refused connection. If no handler has the request, it is answered here.
func (c *Conn) refusal() error {
	c.mu.Lock()
	reason, answer := c.reason, c.phase == inHead
	if answer {
		c.phase, c.answered = quiet, true
	}
	c.mu.Unlock()
	if answer {
		c.answer(reason)
	}
	if answer || c.isQuiet() {
		return io.EOF
	}
	return ErrRefused
}

func (c *Conn) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == quiet
}

// answer answers a request whose head isn't complete.
func (c *Conn) answer(reason Reason) {
	status := http.StatusTooManyRequests
	if reason == HeadTooLarge {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n", status, http.StatusText(status))
	if status == http.StatusTooManyRequests {
		b.WriteString("Retry-After: 1\r\n")
	}
	_ = c.guard.options.RefusalHeaders.Write(&b) // writes to memory don't fail
	b.WriteString("\r\n")
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	_, _ = io.WriteString(c.Conn, b.String())               // the client may have gone
}

// refuse refuses the request of the connection, or closes the connection if there is none. It reports false if the request is complete, because it may run.
func (c *Conn) refuse(reason Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving || c.closed {
		return false
	}
	if !c.isRefused {
		c.isRefused, c.reason = true, reason
		c.guard.count(reason)
		_ = c.Conn.SetReadDeadline(past) // fails only if the connection is closed
	}
	return true
}

func (c *Conn) refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isRefused
}

// SetReadDeadline sets the deadline of reads, unless they must fail.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRefused {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write writes in pieces, so that a reader of a long answer counts as progressing.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		c.writingAt.Store(c.guard.now.Load() + 1)
		n, err := c.Conn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil || written == len(p) {
			c.writingAt.Store(0)
			return written, err
		}
	}
}

// Close closes the connection. From a refused one it first reads what the client has sent, for a moment, so that the client gets the answer.
func (c *Conn) Close() error {
	c.mu.Lock()
	first, answered := !c.closed, c.isRefused && (c.answered || c.phase != quiet)
	c.closed = true
	c.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	c.guard.held.Add(-c.held.Swap(0))
	if answered && !c.guard.stopping.Load() {
		c.linger()
	}
	c.guard.release(c)
	return c.Conn.Close()
}

// linger ends the answer and discards what still arrives.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails only if the connection is closed
	var scratch [1024]byte
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(scratch[:])
		if err != nil {
			return
		}
		read += n
	}
}

// endHead records that the head of a request has been read. net/http reads on, for what follows a request without a body, before a handler has the request.
func (c *Conn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inHead {
		c.phase, c.bodyAt, c.body = inBody, c.guard.now.Load(), 0
	}
}

// begin passes a request to a handler. It reports false if the request was refused before.
func (c *Conn) begin(r *http.Request) bool {
	group := ""
	if c.guard.options.Group != nil {
		group = c.guard.options.Group(r)
	}
	c.mu.Lock()
	if group != "" {
		c.group = group
	}
	c.phase, c.bodyAt, c.body = inBody, c.guard.now.Load(), 0
	// A head that came with the request before it hasn't been accounted for.
	exceeded := c.hold(max(0, costOfHead(r.Header)-c.held.Load()))
	c.mu.Unlock()
	if exceeded && !c.guard.fit(c) {
		return false
	}
	if r.Body == nil || r.Body == http.NoBody {
		return c.complete()
	}
	return !c.refused()
}

// costOfHead returns the bytes that the headers of a request hold.
func costOfHead(h http.Header) int64 {
	cost := int64(0)
	for name, values := range h {
		for _, value := range values {
			cost += costOfLine + int64(len(name)+len(value))*costOfHeadByte
		}
	}
	return cost
}

// complete records that the body is complete. It reports false if the request was refused before.
func (c *Conn) complete() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRefused {
		return false
	}
	if c.phase == inBody && c.guard.options.CompleteBodyCost > 0 {
		c.hold(-c.body * (costOfBodyByte - c.guard.options.CompleteBodyCost))
	}
	c.phase = serving
	return true
}

// end ends a request on a connection that stays open.
func (c *Conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.head, c.lines, c.progressAt = quiet, 0, 0, c.guard.now.Load()
	if c.closed {
		return
	}
	c.guard.held.Add(-c.held.Swap(0))
}

// asVictim returns the connection as one that may be refused, and reports whether it is refused already.
func (c *Conn) asVictim(now int64) (v victim, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v = victim{group: c.group, held: c.held.Load(), quiet: c.phase == quiet, progressAt: c.progressAt}
	if c.isRefused || c.closed {
		return v, true
	}
	if c.phase == inHead {
		v.progressAt = c.headAt // a head comes at once; one that comes byte by byte doesn't progress
	}
	if c.phase != serving {
		v.conn = c
		v.stalled = now-v.progressAt >= stalledTicks
	}
	return v, false
}

// tooSlow reports whether a body has not progressed, or not at the least rate.
func (c *Conn) tooSlow(now int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != inBody || c.isRefused {
		return false
	}
	return now-max(c.progressAt, c.bodyAt) > bodyTicks || c.body < (now-c.bodyAt-bodyTicks)*leastRate
}

// readsNothing reports whether a client reads nothing of its answer.
func (c *Conn) readsNothing(now int64) bool {
	since := c.writingAt.Load()
	return since > 0 && now-(since-1) > answerTicks
}
