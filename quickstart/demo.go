package quickstart

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/jacinthtiller/jacinthtiller/daemon"
)

// writeTimeout bounds the demonstration's write after the primary is lost; the limit of a change of primary is 10 s.
const writeTimeout = 10 * time.Second

// Describe writes a line for each process and target.
func (c *Cluster) Describe(w io.Writer) {
	l, database := c.options.Logins[0], c.options.Databases[0]
	for _, p := range c.Control {
		fmt.Fprintf(w, "control %s %s\n", p.Name(), p.RPCURL())
	}
	for _, h := range c.Hosts {
		fmt.Fprintf(w, "entry %s postgres://%s:%s@%s/%s\n", h.Name(), l.Role, l.Password, h.GuestAddr(), database)
	}
	for _, d := range c.options.Databases {
		for _, domain := range FailureDomains {
			t := c.Targets[d][d+"-"+domain.Name]
			fmt.Fprintf(w, "target %s %s %s\n", t.Name(), t.Role(), t.Addr())
		}
	}
}

// Demonstrate writes on one entry host, reads on all others, stops the primary,
// writes again and prints the share of reads served by replicas and the failover gap.
func (c *Cluster) Demonstrate(ctx context.Context, w io.Writer) error {
	l, database := c.options.Logins[0], c.options.Databases[0]
	writer, err := c.connect(ctx, c.Hosts[0], l, database)
	if err != nil {
		return err
	}
	defer func() { _ = writer.Close(ctx) }()
	fmt.Fprintf(w, "create a table and write a row on %s\n", c.Hosts[0].Name())
	if _, err := writer.Exec(ctx, "CREATE TABLE accessions (id INTEGER PRIMARY KEY, name TEXT)"); err != nil {
		return fmt.Errorf("create the table: %w", err)
	}
	if _, err := writer.Exec(ctx, "INSERT INTO accessions VALUES (1, 'Zea mays')"); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	for _, h := range c.Hosts[1:] {
		if err := c.checkRowCount(ctx, w, h, l, database, 1); err != nil {
			return err
		}
	}
	gap, err := c.measureFailover(ctx, w, writer, database)
	if err != nil {
		return err
	}
	if err := c.checkRowCount(ctx, w, c.Hosts[len(c.Hosts)-1], l, database, 2); err != nil {
		return err
	}
	replica, primary := c.ReadCounts()
	fmt.Fprintf(w, "replica share %.0f%% (%d of %d reads)\n",
		100*float64(replica)/float64(max(1, replica+primary)), replica, replica+primary)
	fmt.Fprintf(w, "failover gap %d ms\n", gap.Milliseconds())
	return nil
}

func (c *Cluster) connect(ctx context.Context, h *daemon.Process, l Login, database string) (*pgx.Conn, error) {
	conn, err := pgx.Connect(ctx, c.URL(h, l, database))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", h.Name(), err)
	}
	return conn, nil
}

// checkRowCount reads the number of rows on another host and compares it with want.
func (c *Cluster) checkRowCount(ctx context.Context, w io.Writer, h *daemon.Process, l Login, database string, want int) error {
	conn, err := c.connect(ctx, h, l, database)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	var got int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM accessions").Scan(&got); err != nil {
		return fmt.Errorf("read on %s: %w", h.Name(), err)
	}
	fmt.Fprintf(w, "read on %s: %d rows\n", h.Name(), got)
	if got != want {
		return fmt.Errorf("read on %s: %d rows, want %d", h.Name(), got, want)
	}
	return nil
}

// measureFailover stops the primary and returns the time until the next write succeeds.
func (c *Cluster) measureFailover(ctx context.Context, w io.Writer, conn *pgx.Conn, database string) (time.Duration, error) {
	stopped := c.Primary(database)
	fmt.Fprintf(w, "stop the primary, %s\n", stopped)
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.Targets[database][stopped].Kill()
	began := time.Now()
	for {
		// The key makes it safe to send the write again after an unknown outcome.
		_, err := conn.Exec(ctx, "/* idempotency-key: second */ INSERT INTO accessions VALUES (2, 'Secale cereale')",
			pgx.QueryExecModeExec)
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("write after the loss of the primary: %w", err)
		}
	}
	gap := time.Since(began)
	fmt.Fprintf(w, "the next write landed; the primary is %s\n", c.Primary(database))
	return gap, nil
}

// ReadCounts returns how many reads replicas and primaries served since the installation started.
func (c *Cluster) ReadCounts() (onReplica, onPrimary uint64) {
	r, p := daemon.ReadCounts()
	return r - c.initialReads[0], p - c.initialReads[1]
}
