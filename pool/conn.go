package pool

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// cleanLimit bounds the cleaning of a connection after its work; a target that takes longer costs a new connection.
const cleanLimit = 300 * time.Millisecond

// Target returns the target that the connection leads to.
func (c *Conn) Target() *Target { return c.t }

// Statement is a prepared statement that an order uses.
type Statement struct {
	// Name is unique by Access and Shape.
	Name string
	// Prepare is the order that prepares it.
	Prepare string
}

// Align makes the connection hold the guest's values and the statement, and no other values. Order gives the order
// that sets a value, and for an empty name the one that resets the connection.
func (c *Conn) Align(deadline time.Time, values map[string]string, order func(name, value string) string, s *Statement) error {
	var orders []jacinthtiller.Order
	foreign := false
	for name := range c.values {
		if _, ok := values[name]; !ok {
			foreign = true // there is no order that takes back a single value
		}
	}
	if c.dirty || foreign || len(c.statements) > statementsKept {
		orders = append(orders, jacinthtiller.Order{Text: order("", "")})
		c.values, c.statements = map[string]string{}, map[string]bool{}
	}
	c.dirty = true
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if v, ok := c.values[name]; !ok || v != values[name] {
			orders = append(orders, jacinthtiller.Order{Text: order(name, values[name])})
			c.values[name] = values[name]
		}
	}
	if s != nil && !c.statements[s.Name] {
		orders = append(orders, jacinthtiller.Order{Text: s.Prepare})
		c.statements[s.Name] = true
	}
	if len(orders) > 0 {
		if err := c.conn.Send(deadline, orders...); err != nil {
			return fmt.Errorf("prepare the connection to %s: %w", c.t.spec.Name, err)
		}
		for range orders {
			r, err := c.conn.Receive(deadline)
			if err != nil {
				return fmt.Errorf("prepare the connection to %s: %w", c.t.spec.Name, err)
			}
			if r.Fail != "" {
				return fmt.Errorf("prepare the connection to %s: %w", c.t.spec.Name,
					&jacinthtiller.FailError{Code: r.Fail, Text: r.FailText})
			}
		}
	}
	c.dirty = false
	return nil
}

// Send sends one order. An error proves that it did not run.
func (c *Conn) Send(deadline time.Time, o jacinthtiller.Order) error {
	c.sentAt = time.Now()
	if err := c.conn.Send(deadline, o); err != nil {
		return fmt.Errorf("send to %s: %w", c.t.spec.Name, err)
	}
	return nil
}

// Receive waits for the answer to the order sent last. After a timeout it may be called again.
func (c *Conn) Receive(deadline time.Time) (jacinthtiller.Reply, error) {
	r, err := c.conn.Receive(deadline)
	if err != nil {
		return r, fmt.Errorf("receive from %s: %w", c.t.spec.Name, err)
	}
	c.t.answered(r, time.Since(c.sentAt))
	return r, nil
}

// answered takes note of an answer.
func (t *Target) answered(r jacinthtiller.Reply, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures, t.retryAt, t.failingSince = 0, time.Time{}, time.Time{}
	if r.Position.Compare(t.seen) > 0 {
		t.seen = r.Position
	}
	if r.Fail != "" {
		return
	}
	us := took.Microseconds()
	if t.latency == 0 {
		t.latency = us
		return
	}
	t.latency += (us - t.latency) * latencyWeight / 100
}

// Done ends the statement that runs on the connection, which stays reserved for its transaction.
func (c *Conn) Done() {
	c.t.mu.Lock()
	c.t.running--
	c.t.mu.Unlock()
	c.grant.Done(true)
}

// Continue waits for room for the next statement of the transaction.
func (c *Conn) Continue(deadline time.Time) error {
	if err := c.grant.Continue(context.Background(), deadline); err != nil {
		return fmt.Errorf("continue on %s: %w", c.t.spec.Name, err)
	}
	c.t.mu.Lock()
	c.t.running++
	c.t.mu.Unlock()
	return nil
}

// Put gives the connection back for other work after Done. It must be outside a transaction and without an answer
// that is still to come.
func (c *Conn) Put() {
	c.grant.Release()
	c.t.mu.Lock()
	retired := c.t.retired
	if !retired {
		c.idleSince, c.reused = time.Now(), false
		c.t.idle = append(c.t.idle, c)
	}
	c.t.mu.Unlock()
	if retired {
		c.t.close(c, "target left the view")
	}
}

// Drop closes the connection after Done, which rolls back what is open on it.
func (c *Conn) Drop(reason string) {
	c.t.close(c, reason)
	c.grant.Release()
}

// Clean rolls back the transaction that is open on the connection and gives it back. It waits for the target for a
// short time only. It follows Done.
func (c *Conn) Clean(rollback string) {
	deadline := time.Now().Add(cleanLimit)
	if err := c.conn.Send(deadline, jacinthtiller.Order{Text: rollback}); err != nil {
		c.Drop("rollback not sent")
		return
	}
	r, err := c.conn.Receive(deadline)
	if err != nil || r.State != jacinthtiller.StateIdle {
		c.Drop("rollback not answered")
		return
	}
	c.Put()
}

// IsTimeout reports whether err is the end of a wait for an answer.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}
