//go:build hostile

package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// writeTimeout ends a write to a target that doesn't read.
	writeTimeout = 3 * time.Second
	// settle is how long a crowd stays open after it has sent everything, so that the targets read what lies in the buffers of the connections.
	settle = time.Second
	// endlessBytes bounds what one client sends without end.
	endlessBytes = 1 << 20
)

// client is one connection of a crowd.
type client struct {
	net.Conn
	target *target
	number int
}

// send writes a text and reports whether all of it was written.
func (c *client) send(text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the connection is closed
	_, err := io.WriteString(c, text)
	return err == nil
}

// sendEndlessly repeats a text up to endlessBytes.
func (c *client) sendEndlessly(text string) {
	for sent := 0; sent < endlessBytes && c.send(text); sent += len(text) {
	}
}

// head returns the beginning of a request that isn't the ordinary one.
func (c *client) head() string { return fmt.Sprintf(c.target.head, 0xbad0000+c.number) }

// behaviour is what a client sends. The connection stays open after it.
type behaviour func(c *client)

// Texts that the clients send.
var (
	manyShortLines = strings.Repeat("a:\r\n", 100_000)
	manyNames      = distinctLines(400_000, "")
	legalNames     = distinctLines(15_000, "")
	smallNames     = distinctLines(150_000, "")
	foldedLines    = strings.Repeat("a: b\r\n c\r\n\td\r\n", 30_000)
	spacedLines    = distinctLines(150_000, "   \t  ")
	noColonLines   = strings.Repeat("abc\r\n", 50_000)
	longLine       = strings.Repeat("x", 64<<10)
	emptyLines     = strings.Repeat("\r\n", 16<<10)
	body           = strings.Repeat(" ", 250_000)
	manySteps      = `{"spec":"x","pipeline":[` + strings.Repeat("{},", 80_000) + `{}]}`
)

// distinctLines returns header lines with different names and a value that is empty but for spaces, of about the given number of bytes.
func distinctLines(size int, spaces string) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s:%s\r\n", shortName(i), spaces)
	}
	return b.String()
}

// shortName returns the short names of headers in turn.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := ""
	for i++; i > 0; i /= len(letters) {
		i--
		name += string(letters[i%len(letters)])
	}
	return name
}

// sendPieces sends a body in pieces.
func (c *client) sendPieces(text string) {
	for len(text) > 0 {
		n := min(len(text), 4096)
		if !c.send(text[:n]) {
			return
		}
		text = text[n:]
	}
}

// behaviours lists what the crowds send. Each client then stays open.
var behaviours = map[string]behaviour{
	"short-lines": func(c *client) { c.send(c.head() + manyShortLines + "\r\n") },
	"many-names":  func(c *client) { c.send(c.head() + manyNames + "\r\n") },
	"small-names": func(c *client) { c.send(c.head() + smallNames) },
	"legal-heads": func(c *client) { c.send(c.head() + legalNames + "Content-Length: 1000\r\n\r\n{") },
	"folded-lines": func(c *client) {
		c.send(c.head() + foldedLines)
	},
	"spaced-lines": func(c *client) { c.send(c.head() + spacedLines) },
	"no-colon":     func(c *client) { c.send(c.head() + noColonLines) },
	"endless-line": func(c *client) {
		c.send(c.head() + "X: ")
		c.sendEndlessly(longLine)
	},
	"endless-request-line": func(c *client) {
		c.send("GET /")
		c.sendEndlessly(longLine)
	},
	"endless-head": func(c *client) {
		c.send(c.head())
		c.sendEndlessly(smallNames)
	},
	"empty-lines": func(c *client) { c.sendEndlessly(emptyLines) },
	"whole-bodies": func(c *client) {
		for range 4 {
			if !c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", c.head(), len(body), body)) {
				return
			}
		}
	},
	"many-steps": func(c *client) {
		c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", c.head(), len(manySteps), manySteps))
	},
	"short-of-end": func(c *client) {
		c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", c.head(), len(body)+1, body))
	},
	"bodies-in-pieces": func(c *client) {
		if c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", c.head(), len(body)+1)) {
			c.sendPieces(body)
		}
	},
	"chunks": func(c *client) {
		if c.send(c.head() + "Transfer-Encoding: chunked\r\n\r\n") {
			c.sendEndlessly("1000\r\n" + body[:0x1000] + "\r\n")
		}
	},
	"small-chunks": func(c *client) {
		if c.send(c.head() + "Transfer-Encoding: chunked\r\n\r\n") {
			c.sendEndlessly(strings.Repeat("1;a=b\r\n \r\n", 6000))
		}
	},
	"pipelined": func(c *client) {
		for range 10 {
			if !c.send(c.head() + legalNames + "Content-Length: 2\r\n\r\n{}") {
				return
			}
		}
	},
	"half-heads": func(c *client) { c.send(c.head()) },
	"idle":       func(*client) {},
}

// crowd is a number of clients that are open.
type crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// attack opens a number of connections to each target, and returns once every client has sent what it sends.
func attack(targets []*target, perTarget int, b behaviour) *crowd {
	c := &crowd{}
	var sending sync.WaitGroup
	for _, t := range targets {
		for i := range perTarget {
			sending.Go(func() {
				conn, err := net.DialTimeout("tcp", t.callers, writeTimeout)
				if err != nil {
					return // refused, which is allowed
				}
				c.mu.Lock()
				c.conns = append(c.conns, conn)
				c.mu.Unlock()
				b(&client{conn, t, i})
			})
		}
	}
	sending.Wait()
	time.Sleep(settle)
	return c
}

// close closes all connections.
func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close() // it may be closed
	}
}

// storm opens and closes connections to each target, with half a head sent on each.
func storm(targets []*target, perTarget, workers int) {
	var open sync.WaitGroup
	for _, t := range targets {
		for range workers {
			open.Go(func() {
				for range perTarget / workers {
					conn, err := net.DialTimeout("tcp", t.callers, writeTimeout)
					if err != nil {
						continue
					}
					c := &client{conn, t, 0}
					c.send(c.head())
					_ = conn.Close() // reset by the target, perhaps
				}
			})
		}
	}
	open.Wait()
}

// attackOf returns the behaviour of a name.
func attackOf(t *testing.T, name string) behaviour {
	t.Helper()
	b, ok := behaviours[name]
	if !ok {
		t.Fatalf("no behaviour %s", name)
	}
	return b
}
