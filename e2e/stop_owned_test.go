package e2e_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/quickstart"
)

// TestStopOwnedWhileBusy guards against connections that a stopping host cuts without an answer on the PostgreSQL interface:
// of guests that ask again at once, whose next request has always arrived, or who leave a transaction open.
func TestStopOwnedWhileBusy(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 14 processes")
	}
	const host, copies = "cluj-a-entry-9", 3
	// asked are guests that send the texts in turn, each when the one before is answered, from the first text on again.
	asked := map[string][]string{
		"reads":                   {"SELECT count(*) FROM accessions"},
		"writes":                  {"UPDATE accessions SET name = 'x' WHERE id = 1"},
		"settings":                {"SET jacinthtiller.read_class = ''"},
		"transactions":            {"BEGIN", "SELECT count(*) FROM accessions", "COMMIT"},
		"transaction without end": {"BEGIN; SELECT 1", "SELECT count(*) FROM accessions"},
	}
	n := startInstallation(t)
	n.startHost(host, quickstart.FailureDomains[0], "--drain-milliseconds", "3000")
	n.waitReady()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	convey.Convey("A host stops while its guests are busy", t, func() {
		var mu sync.Mutex
		ends := map[string]string{}
		answered := 0
		record := func(guest string, err error) {
			mu.Lock()
			defer mu.Unlock()
			ends[guest] = fmt.Sprint(err)
			var e *pgconn.PgError
			if errors.As(err, &e) {
				ends[guest] = e.Code
			}
		}
		connect := func() *pgx.Conn {
			c, err := pgx.Connect(ctx, n.guestURL(host))
			convey.So(err, convey.ShouldBeNil)
			return c
		}
		var guests conc.WaitGroup
		for name, texts := range asked {
			for i := range copies {
				c := connect()
				guests.Go(func() {
					defer c.Close(context.Background())
					for k := 0; ; k++ {
						_, err := c.Exec(ctx, texts[k%len(texts)], pgx.QueryExecModeSimpleProtocol)
						if err != nil && c.IsClosed() {
							record(fmt.Sprint(name, " ", i), err)
							return
						}
						mu.Lock()
						answered++
						mu.Unlock()
					}
				})
			}
		}
		idle := connect()
		defer idle.Close(context.Background())
		_, err := idle.Exec(ctx, "BEGIN; SELECT 1", pgx.QueryExecModeSimpleProtocol)
		convey.So(err, convey.ShouldBeNil)
		streaming, err := connect().PgConn().Hijack()
		convey.So(err, convey.ShouldBeNil)
		defer streaming.Conn.Close()
		query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
		convey.So(err, convey.ShouldBeNil)
		guests.Go(func() {
			for many := bytes.Repeat(query, 100); ; {
				if _, err := streaming.Conn.Write(many); err != nil {
					return
				}
			}
		})
		guests.Go(func() {
			for {
				m, err := streaming.Frontend.Receive()
				if err != nil {
					record("streaming", err)
					return
				}
				if e, ok := m.(*pgproto3.ErrorResponse); ok {
					record("streaming", &pgconn.PgError{Code: e.Code})
					return
				}
			}
		})
		time.Sleep(500 * time.Millisecond) // the guests are busy
		began := time.Now()
		code := n.hosts[host].terminate()
		took := time.Since(began)
		guests.Wait()
		_, err = idle.Exec(ctx, "COMMIT")
		record("idle in a transaction", err)
		t.Logf("%d requests answered, the stop took %v", answered, took)
		want := map[string]string{"streaming": "57P01", "idle in a transaction": "57P01"}
		for name := range asked {
			for i := range copies {
				want[fmt.Sprint(name, " ", i)] = "57P01"
			}
		}
		convey.So(ends, convey.ShouldResemble, want)
		convey.So(code, convey.ShouldEqual, 0)
		convey.So(took, convey.ShouldBeLessThan, 3*time.Second)
	})
}
