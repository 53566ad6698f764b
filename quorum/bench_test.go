package quorum_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"github.com/jacinthtiller/jacinthtiller/quorum"
)

// BenchmarkPropose measures committed proposals per second with three members on disk.
func BenchmarkPropose(b *testing.B) {
	for name, callers := range map[string]int{"1 caller": 1, "64 callers": 64, "512 callers": 512} {
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, nil, "a", "b", "c")
			c.start("a", "b", "c")
			c.propose(0)
			leader := c.nodes[c.waitForLeader()]
			var next atomic.Int64
			var g conc.WaitGroup
			b.ResetTimer()
			for range callers {
				g.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if _, _, err := leader.Propose(context.Background(), encodeNumber(1)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			g.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkConfirm measures confirmations of the leadership, which write nothing to disk.
func BenchmarkConfirm(b *testing.B) {
	c := newCluster(b, nil, "a", "b", "c")
	c.start("a", "b", "c")
	c.propose(0)
	leader := c.nodes[c.waitForLeader()]
	b.SetParallelism(64)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			if err := leader.ConfirmLeader(context.Background()); err != nil {
				b.Error(err)
			}
		}
	})
}

// BenchmarkHeartbeat measures the encoded size and the rate of heartbeats and their responses.
func BenchmarkHeartbeat(b *testing.B) {
	c := newCluster(b, nil, "a", "b", "c")
	var mu sync.Mutex
	bytes, messages := map[quorum.Kind]int{}, map[quorum.Kind]int{}
	c.start("a", "b", "c")
	for range 1000 {
		c.propose(0)
	}
	c.transport.mu.Lock()
	c.transport.onSend = func(m quorum.Message) {
		data, err := cbor.Marshal(m)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			b.Error(err)
		}
		bytes[m.Kind] += len(data)
		messages[m.Kind]++
	}
	c.transport.mu.Unlock()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for k, n := range messages {
		b.ReportMetric(float64(bytes[k])/float64(n), string(k)+"-bytes")
		b.ReportMetric(float64(n)/2, string(k)+"/s")
	}
}
