package session

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/jacinthtiller/jacinthtiller"
)

// echoOpener is an opener and channel that answers every unit at once.
type echoOpener struct{ answer []byte }

func (e echoOpener) Open(context.Context, string) (jacinthtiller.Channel, error) { return e, nil }
func (e echoOpener) Cancel(context.Context) error                                { return nil }
func (e echoOpener) Close() error                                                { return nil }

func (e echoOpener) Run(_ context.Context, u jacinthtiller.Unit, sink jacinthtiller.Sink) (jacinthtiller.Result, error) {
	err := sink(e.answer)
	return jacinthtiller.Result{Number: u.Number, Outcome: jacinthtiller.OutcomeDone, Position: u.Mark, Status: 'I'}, err
}

// connectIdleGuests connects guests that run one statement each.
func connectIdleGuests(b *testing.B, h *testHost, n int) []net.Conn {
	out := make([]net.Conn, 0, n)
	for range n {
		c, err := pgconn.Connect(context.Background(), h.url("reader"))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := c.Exec(context.Background(), "select a").ReadAll(); err != nil {
			b.Fatal(err)
		}
		k, err := c.Hijack()
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, k.Conn)
	}
	return out
}

// memoryInUse returns the memory for heap and stacks in use after a collection.
func memoryInUse() (heap, stacks uint64) {
	for range 6 { // the second collection empties the pools; each one halves a stack that is mostly unused
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.StackInuse
}

// BenchmarkIdle measures the memory per idle guest that has run a statement. The clients are in this
// process too; their memory is measured with bare connections and subtracted.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{1000, 5000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			for range b.N {
				fc := newFakeCluster()
				h := fc.startHost(b)
				clientBytes := clientMemory(b, n)
				heap, stacks := memoryInUse()
				conns := connectIdleGuests(b, h, n)
				fc.locked(func() { fc.units = nil })
				heap2, stacks2 := memoryInUse()
				b.ReportMetric((float64(heap2)-float64(heap))/float64(n)-clientBytes, "heap-B/guest")
				b.ReportMetric((float64(stacks2)-float64(stacks))/float64(n), "stack-B/guest")
				b.ReportMetric((float64(heap2+stacks2)-float64(heap+stacks))/float64(n)-clientBytes, "B/guest")
				runtime.KeepAlive(conns)
				for _, c := range conns {
					_ = c.Close()
				}
				h.Close()
			}
		})
	}
}

// clientMemory returns the memory of the client's end of one connection.
func clientMemory(b *testing.B, n int) float64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	heap, _ := memoryInUse()
	var all []net.Conn
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		s, err := l.Accept()
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, c, s)
	}
	heap2, _ := memoryInUse()
	for _, c := range all {
		_ = c.Close()
	}
	return (float64(heap2) - float64(heap)) / float64(n) / 2
}

// BenchmarkRoundTrip measures a statement through a session with a target that answers at once.
func BenchmarkRoundTrip(b *testing.B) {
	e := echoOpener{}
	for _, m := range []pgproto3.Message{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: textType}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte("a")}}, commandComplete, readyForQuery,
	} {
		e.answer = encode(e.answer, m)
	}
	for _, role := range []string{"reader", "writer"} {
		for _, guests := range []int{1, 64} {
			b.Run(fmt.Sprintf("%s/%d", role, guests), func(b *testing.B) {
				fc := newFakeCluster()
				fc.view.Hosts["h"] = jacinthtiller.Host{Name: "h"}
				h := fc.startHost(b, WithOpener(e))
				b.ReportAllocs()
				b.SetParallelism(max(1, guests/runtime.GOMAXPROCS(0)))
				q := encode(nil, &pgproto3.Query{String: "select a"})
				run := func(c net.Conn, buf []byte) {
					if _, err := c.Write(q); err != nil {
						b.Error(err)
					}
					for got := 0; ; {
						n, err := c.Read(buf[got:])
						if err != nil {
							b.Error(err)
							return
						}
						if got += n; got >= 6 && buf[got-6] == 'Z' {
							return
						}
					}
				}
				if guests == 1 {
					c := h.connectRaw(b, role)
					buf := make([]byte, 4096)
					for b.Loop() {
						run(c.conn, buf)
					}
					return
				}
				b.RunParallel(func(pb *testing.PB) {
					c, buf := h.connectRaw(b, role), make([]byte, 4096)
					for pb.Next() {
						run(c.conn, buf)
					}
				})
			})
		}
	}
}
