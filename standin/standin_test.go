package standin_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/standin"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/smartystreets/goconvey/convey"
)

var background = context.Background()

// startTarget starts a target that is closed at the end of the test.
func startTarget(t *testing.T, c standin.Config) *standin.Target {
	t.Helper()
	s, err := standin.Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// connect opens a client connection that is closed at the end of the test.
func connect(t testing.TB, s *standin.Target, options string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(background, "postgres://guest@"+s.Addr()+"/db?sslmode=disable"+options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(background) })
	return c
}

// exec runs SQL with the simple protocol and returns the command tag, or the SQLSTATE of the error.
func exec(c *pgx.Conn, sql string) string {
	r, err := c.PgConn().Exec(background, sql).ReadAll()
	if err != nil {
		return sqlState(err)
	}
	return r[len(r)-1].CommandTag.String()
}

func sqlState(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code
	}
	return fmt.Sprint(err)
}

// eventually waits up to 10 s for f to return true.
func eventually(f func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return false
}

// TestStatements guards against command tags and SQLSTATEs that differ from PostgreSQL's.
func TestStatements(t *testing.T) {
	cases := map[string][][2]string{
		"writes": {
			{"CREATE TABLE a (id bigint primary key, name text not null)", "CREATE TABLE"},
			{"INSERT INTO a VALUES (1, 'x'), (2, E'it\\'s')", "INSERT 0 2"},
			{"UPDATE public.a SET name = 'y' WHERE id = 1", "UPDATE 1"},
			{"SELECT * FROM a -- all", "SELECT 2"},
			{"DELETE FROM a", "DELETE 2"},
			{"TRUNCATE a", "TRUNCATE TABLE"},
		},
		"errors": {
			{"CREATE TABLE b (id bigint primary key, n int not null)", "CREATE TABLE"},
			{"INSERT INTO b VALUES (1, 1)", "INSERT 0 1"},
			{"INSERT INTO b VALUES (1, 1)", "23505"},
			{"INSERT INTO b VALUES (2, NULL)", "23502"},
			{"SELECT * FROM missing", "42P01"},
			{"SELEC 1", "42601"},
			{"SELECT FROM WHERE", "42601"},
			{"SELECT missing FROM b", "42703"},
			{"SAVEPOINT s", "0A000"},
			{"SHOW missing", "42704"},
		},
		"failed transaction": {
			{"CREATE TABLE c (id bigint primary key)", "CREATE TABLE"},
			{"BEGIN", "BEGIN"},
			{"INSERT INTO c VALUES (1)", "INSERT 0 1"},
			{"SELECT * FROM missing", "42P01"},
			{"SELECT 1", "25P02"},
			{"COMMIT", "ROLLBACK"},
			{"SELECT * FROM c", "SELECT 0"},
		},
		"implicit transaction of a query": {
			{"CREATE TABLE d (id bigint primary key)", "CREATE TABLE"},
			{"INSERT INTO d VALUES (1); INSERT INTO d VALUES (1)", "23505"},
			{"SELECT * FROM d", "SELECT 0"},
			{"INSERT INTO d VALUES (1); INSERT INTO d VALUES (2)", "INSERT 0 1"},
			{"SELECT * FROM d FOR UPDATE", "SELECT 2"},
		},
		"read only": {
			{"CREATE TABLE e (id bigint)", "CREATE TABLE"},
			{"BEGIN READ ONLY", "BEGIN"},
			{"SELECT * FROM e", "SELECT 0"},
			{"INSERT INTO e VALUES (1)", "25006"},
			{"ROLLBACK", "ROLLBACK"},
			{"INSERT INTO e VALUES (1)", "INSERT 0 1"},
		},
		"settings": {
			{"SET jacinth.x TO 'v'", "SET"},
			{"SHOW jacinth.x", "SHOW"},
			{"DISCARD ALL", "DISCARD ALL"},
			{"SHOW jacinth.x", "42704"},
			{"BEGIN; DISCARD ALL", "25001"},
			{"ROLLBACK", "ROLLBACK"},
		},
	}
	convey.Convey("Each statement gives the command tag or SQLSTATE of PostgreSQL", t, func() {
		for name, steps := range cases {
			convey.Convey(name, func() {
				s, err := standin.Start(standin.Config{Name: "a"})
				convey.So(err, convey.ShouldBeNil)
				defer func() { convey.So(s.Close(), convey.ShouldBeNil) }()
				c := connect(t, s, "")
				for _, p := range steps {
					convey.So(p[0]+": "+exec(c, p[0]), convey.ShouldEqual, p[0]+": "+p[1])
				}
			})
		}
	})
}

// TestProtocols guards against values that one of the query modes does not return unchanged.
func TestProtocols(t *testing.T) {
	convey.Convey("Values are returned unchanged in every query mode", t, func() {
		s := startTarget(t, standin.Config{Name: "a"})
		for _, mode := range []string{"simple_protocol", "cache_statement", "cache_describe", "describe_exec", "exec"} {
			c := connect(t, s, "&default_query_exec_mode="+mode)
			_, err := c.Exec(background, "CREATE TABLE IF NOT EXISTS v (n bigint, f double precision, s text, b bytea, t boolean)")
			convey.So(err, convey.ShouldBeNil)
			var n, count int64
			var f float64
			var str string
			var b []byte
			var ok bool
			err = c.QueryRow(background, "INSERT INTO v (n, f, s, b, t) VALUES ($1, $2, $3, $4, $5) RETURNING n, f, s, b, t",
				int64(7), 1.5, "12", []byte{0, 255}, true).Scan(&n, &f, &str, &b, &ok)
			convey.So(err, convey.ShouldBeNil)
			convey.So([]any{n, f, str, b, ok}, convey.ShouldResemble, []any{int64(7), 1.5, "12", []byte{0, 255}, true})
			err = c.QueryRow(background, "SELECT count(*), max(n), $2::text FROM v WHERE s = $1 AND t", "12", "x").Scan(&count, &n, &str)
			convey.So(err, convey.ShouldBeNil)
			convey.So([]any{count > 0, n, str}, convey.ShouldResemble, []any{true, int64(7), "x"})
			_, err = c.Exec(background, "SELECT * FROM missing")
			convey.So(sqlState(err), convey.ShouldEqual, "42P01")
			tx, err := c.Begin(background)
			convey.So(err, convey.ShouldBeNil)
			_, err = tx.Exec(background, "DELETE FROM v WHERE n = $1", 7)
			convey.So(err, convey.ShouldBeNil)
			convey.So(tx.Rollback(background), convey.ShouldBeNil)
		}
	})
	convey.Convey("An error in a pipeline skips messages until Sync and rolls back the statements before it", t, func() {
		c := connect(t, startTarget(t, standin.Config{Name: "a"}), "")
		convey.So(exec(c, "CREATE TABLE p (id bigint primary key)"), convey.ShouldEqual, "CREATE TABLE")
		b := &pgx.Batch{}
		for _, id := range []int{1, 1, 2} {
			b.Queue("INSERT INTO p VALUES ($1)", id)
		}
		convey.So(sqlState(c.SendBatch(background, b).Close()), convey.ShouldEqual, "23505")
		convey.So(exec(c, "SELECT * FROM p"), convey.ShouldEqual, "SELECT 0")
	})
	convey.Convey("A cancel request ends the statement and keeps the session", t, func() {
		c := connect(t, startTarget(t, standin.Config{Name: "a"}), "")
		time.AfterFunc(50*time.Millisecond, func() { _ = c.PgConn().CancelRequest(background) })
		convey.So(exec(c, "WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n+1 FROM r) SELECT count(*) FROM r"), convey.ShouldEqual, "57014")
		convey.So(exec(c, "SELECT 1"), convey.ShouldEqual, "SELECT 1")
	})
	convey.Convey("Passwords and the limit of connections are checked", t, func() {
		s := startTarget(t, standin.Config{Name: "a", Password: "right", MaxConnections: 1})
		_, err := pgx.Connect(background, "postgres://guest:wrong@"+s.Addr()+"/db?sslmode=disable")
		convey.So(sqlState(err), convey.ShouldEqual, "28P01")
		c, err := pgx.Connect(background, "postgres://guest:right@"+s.Addr()+"/db?sslmode=disable")
		convey.So(err, convey.ShouldBeNil)
		_, err = pgx.Connect(background, "postgres://guest:right@"+s.Addr()+"/db?sslmode=disable")
		convey.So(sqlState(err), convey.ShouldEqual, "53300")
		convey.So(c.Close(background), convey.ShouldBeNil)
	})
}

// TestGroup guards against violations of the target contract during a change of primary.
func TestGroup(t *testing.T) {
	convey.Convey("Given a primary and a replica", t, func() {
		a := startTarget(t, standin.Config{Name: "a", GroupSize: 2})
		b := startTarget(t, standin.Config{Name: "b", GroupSize: 2, Follow: a.Addr()})
		ca, cb := connect(t, a, ""), connect(t, b, "")
		convey.So(exec(ca, "CREATE TABLE g (id bigint primary key)"), convey.ShouldEqual, "CREATE TABLE")
		convey.So(exec(ca, "INSERT INTO g VALUES (1)"), convey.ShouldEqual, "INSERT 0 1")
		convey.So(ca.PgConn().ParameterStatus("log_position"), convey.ShouldEqual, "1/3")
		convey.So(eventually(func() bool { return b.Position() == a.Position() }), convey.ShouldBeTrue)
		convey.So(exec(cb, "SELECT * FROM g"), convey.ShouldEqual, "SELECT 1")
		convey.So(cb.PgConn().ParameterStatus("log_position"), convey.ShouldEqual, "1/3")
		convey.So(exec(cb, "INSERT INTO g VALUES (2)"), convey.ShouldEqual, "25006")

		convey.Convey("the lag delays entries", func() {
			b.SetLag(200 * time.Millisecond)
			convey.So(exec(ca, "INSERT INTO g VALUES (2)"), convey.ShouldEqual, "INSERT 0 1")
			startTime := time.Now()
			convey.So(eventually(func() bool { return b.Position() == a.Position() }), convey.ShouldBeTrue)
			convey.So(time.Since(startTime), convey.ShouldBeGreaterThan, 150*time.Millisecond)
		})
		convey.Convey("a fenced replica refuses late entries of the old term", func() {
			b.SetLag(100 * time.Millisecond)
			convey.So(exec(ca, "INSERT INTO g VALUES (2)"), convey.ShouldEqual, "INSERT 0 1")
			convey.So(exec(cb, "SELECT group_fence(3)"), convey.ShouldEqual, "SELECT 1")
			time.Sleep(300 * time.Millisecond)
			convey.So(b.Position().String(), convey.ShouldEqual, "1/3")
			convey.So(exec(cb, "SELECT group_promote(2)"), convey.ShouldEqual, "55000")
		})
		convey.Convey("a fenced primary commits nothing, not even an open transaction", func() {
			convey.So(exec(ca, "BEGIN; INSERT INTO g VALUES (2)"), convey.ShouldEqual, "INSERT 0 1")
			convey.So(exec(connect(t, a, ""), "SELECT group_fence(2)"), convey.ShouldEqual, "SELECT 1")
			convey.So(exec(ca, "COMMIT"), convey.ShouldEqual, "25006")
			convey.So(exec(ca, "INSERT INTO g VALUES (2)"), convey.ShouldEqual, "25006")
			convey.So(exec(ca, "SELECT * FROM g"), convey.ShouldEqual, "SELECT 1")
		})
		convey.Convey("an old primary with entries that the new primary lacks is rebuilt", func() {
			a.Partition("b")
			convey.So(exec(ca, "INSERT INTO g VALUES (10)"), convey.ShouldEqual, "INSERT 0 1")
			for range 2 { // the second order repeats the first
				convey.So(exec(cb, "SELECT group_promote(2)"), convey.ShouldEqual, "SELECT 1")
			}
			convey.So(exec(cb, "INSERT INTO g VALUES (20)"), convey.ShouldEqual, "INSERT 0 1")
			convey.So(b.Position().String(), convey.ShouldEqual, "2/5")
			b.Partition("a")
			convey.So(exec(ca, "SELECT group_follow(2, '"+b.Addr()+"')"), convey.ShouldEqual, "SELECT 1")
			convey.So(exec(ca, "SELECT * FROM g"), convey.ShouldEqual, "57P03")
			b.Heal()
			convey.So(eventually(func() bool { return a.Position() == b.Position() }), convey.ShouldBeTrue)
			convey.So(a.Log(), convey.ShouldResemble, b.Log())
			convey.So(exec(ca, "SELECT * FROM g WHERE id = 10"), convey.ShouldEqual, "SELECT 0")
			convey.So(a.Role(), convey.ShouldEqual, jacinthtiller.RoleReplica)
		})
		convey.Convey("a killed target restarts with its entries", func() {
			b.Kill()
			c := startTarget(t, standin.Config{Name: "c", Follow: a.Addr(), InitialEntries: b.Log()})
			convey.So(exec(connect(t, c, ""), "SELECT * FROM g"), convey.ShouldEqual, "SELECT 1")
		})
	})
}
