package pool

import (
	"math"
	"time"
)

const (
	// demandPeriod is the time constant of the decayed number of operations. A host of 81 sees about one operation a second of
	// an account that sends 100 a second to a target, and needs a few of them for an estimate.
	demandPeriod = 4 * time.Second
	// demandForgotten is the age at which a count has decayed to less than 1 percent.
	demandForgotten = 5 * demandPeriod
	// minDemandCounts is the number of counts below which none are discarded.
	minDemandCounts = 64
)

// demand estimates how many operations of each account all hosts send to one target, from those that this host sends. It is
// used under the lock of its target.
type demand struct {
	counts map[string]decayedCount
	// discardAbove is the number of counts above which forgotten ones are discarded.
	discardAbove int
}

// decayedCount is a number of operations, each of which counts less the longer ago it was.
type decayedCount struct {
	operations float64
	at         time.Time
}

func (c decayedCount) after(now time.Time) float64 {
	return c.operations * math.Exp(-float64(now.Sub(c.at))/float64(demandPeriod))
}

// record counts an operation of the account and returns the estimated operations per second of the account from all hosts, of
// which there are that many. The standard deviation is subtracted, so that a few operations in a row are not taken for many.
func (d *demand) record(account string, hosts int, now time.Time) float64 {
	if d.counts == nil {
		d.counts, d.discardAbove = map[string]decayedCount{}, minDemandCounts
	}
	n := d.counts[account].after(now) + 1
	d.counts[account] = decayedCount{operations: n, at: now}
	if len(d.counts) > d.discardAbove {
		for a, c := range d.counts {
			if now.Sub(c.at) > demandForgotten {
				delete(d.counts, a)
			}
		}
		d.discardAbove = max(minDemandCounts, 2*len(d.counts))
	}
	return max(0, n-math.Sqrt(n)) * float64(hosts) / demandPeriod.Seconds()
}
