package quickstart

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jacinthtiller/jacinthtiller/bench"
	"github.com/jacinthtiller/jacinthtiller/daemon"
)

// faultReplicaLag is how far replicas fall behind under the fault lag-replicas.
const faultReplicaLag = 300 * time.Millisecond

// BenchLogins returns the installation's logins for a load with that many guests each.
func (c *Cluster) BenchLogins(guests int) []bench.Login {
	var out []bench.Login
	for _, l := range c.options.Logins {
		urls := map[string][]string{}
		for _, d := range c.options.Databases {
			for _, h := range c.Hosts {
				urls[d] = append(urls[d], c.URL(h, l, d))
			}
		}
		out = append(out, bench.Login{Team: l.Team, URLs: urls, ReadOnly: l.ReadOnly, Guests: guests})
	}
	return out
}

// FaultFunc returns a function that injects the named fault into the first database; nil when there is no such fault.
func (c *Cluster) FaultFunc(name string) func() error {
	database := c.options.Databases[0]
	onPrimary := func(f func(string)) func() error {
		return func() error {
			p := c.Primary(database)
			if p == "" {
				return errors.New("there is no primary")
			}
			f(p)
			return nil
		}
	}
	switch name {
	case "stop-primary":
		return onPrimary(func(p string) { c.Targets[database][p].Kill() })
	case "freeze-primary":
		return onPrimary(func(p string) { c.Targets[database][p].Freeze() })
	case "cut-primary":
		return onPrimary(func(p string) { c.Targets[database][p].Partition() })
	case "lag-replicas":
		return onPrimary(func(p string) {
			for name, t := range c.Targets[database] {
				if name != p {
					t.SetLag(faultReplicaLag)
				}
			}
		})
	case "kill-owner":
		return c.onOwner(func(h *daemon.Process) error {
			h.Kill()
			return nil
		})
	case "stop-host":
		return c.onOwner(func(h *daemon.Process) error {
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			return h.Stop(ctx)
		})
	case "kill-control":
		return func() error {
			c.Control[0].Kill()
			return nil
		}
	}
	return nil
}

// onOwner returns a function that calls f with the owner of the first database's primary.
func (c *Cluster) onOwner(f func(*daemon.Process) error) func() error {
	return func() error {
		database := c.options.Databases[0]
		for _, h := range c.Hosts {
			if h.StopRequested() {
				continue
			}
			v := h.View()
			o, ok := v.Owner(database, v.Databases[database].Primary)
			if !ok {
				break
			}
			for _, p := range c.Hosts {
				if p.Name() == o.Name {
					return f(p)
				}
			}
		}
		return fmt.Errorf("the primary of %s has no owner", database)
	}
}
