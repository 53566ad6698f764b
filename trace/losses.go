package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jacinthtiller/jacinthtiller/event"
)

// LossKey names a group of requests that were lost for the same reason.
type LossKey struct {
	// Cause is the cause that the host logged.
	Cause    string `json:"cause"`
	Database string `json:"database"`
	// Class is the read class of the route.
	Class string `json:"class"`
	// Late is true for requests that were answered after their objective, false for those that failed.
	Late bool `json:"late"`
}

// Loss counts the requests of a group.
type Loss struct {
	LossKey
	Requests int `json:"requests"`
	// Attempts is how many times targets were asked for them.
	Attempts int `json:"attempts"`
	// WaitedMilliseconds is the sum of the times that the guests waited for the answers.
	WaitedMilliseconds int64 `json:"waited-milliseconds"`
	// First and Last are the times of the first and the last answer, by the clocks of the hosts.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// Hosts is the number of hosts that answered.
	Hosts int `json:"hosts"`
}

// LossWindow counts the lost requests of a period by cause.
type LossWindow struct {
	Start  time.Time      `json:"start"`
	Causes map[string]int `json:"causes"`
}

// Losses tells for the logs of a period which requests failed or were late, and for what reason.
type Losses struct {
	// Groups are ordered by the number of requests, the largest first.
	Groups []Loss `json:"groups"`
	// Windows are ordered by time; periods without a loss are left out.
	Windows []LossWindow `json:"windows"`
	// Dropped is how many log lines the hosts left out, so that the counts are too low by up to as much.
	Dropped int `json:"dropped"`
}

// FindLosses attributes each request that failed or was late to the cause that its host logged.
func FindLosses(lines []LogLine, window time.Duration) Losses {
	groups := map[LossKey]*Loss{}
	hosts := map[LossKey]map[string]bool{}
	windows := map[time.Time]map[string]int{}
	var out Losses
	for _, l := range lines {
		switch l.Number {
		case event.LinesDropped.Number:
			out.Dropped += int(numberValue(l.Fields["count"]))
			continue
		case event.StatementFailed.Number, event.StatementLate.Number:
		default:
			continue
		}
		k := LossKey{
			Cause: stringValue(l.Fields["cause"]), Database: stringValue(l.Fields["database"]), Class: stringValue(l.Fields["class"]),
			Late: l.Number == event.StatementLate.Number,
		}
		if k.Cause == "" {
			k.Cause = "unknown" // a host of an earlier version
		}
		if groups[k] == nil {
			groups[k], hosts[k] = &Loss{LossKey: k, First: l.Time}, map[string]bool{}
		}
		g := groups[k]
		g.Requests++
		g.Attempts += int(numberValue(l.Fields["tries"]))
		g.WaitedMilliseconds += int64(numberValue(l.Fields["milliseconds"]))
		g.Last = l.Time
		hosts[k][l.Host] = true
		start := l.Time.Truncate(window)
		if windows[start] == nil {
			windows[start] = map[string]int{}
		}
		windows[start][k.label()]++
	}
	for k, g := range groups {
		g.Hosts = len(hosts[k])
		out.Groups = append(out.Groups, *g)
	}
	slices.SortFunc(out.Groups, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Database, b.Database), cmp.Compare(a.label()+a.Class, b.label()+b.Class))
	})
	for _, start := range slices.SortedFunc(maps.Keys(windows), time.Time.Compare) {
		out.Windows = append(out.Windows, LossWindow{Start: start, Causes: windows[start]})
	}
	return out
}

// label returns the cause, marked for late requests.
func (k LossKey) label() string {
	if k.Late {
		return "late:" + k.Cause
	}
	return k.Cause
}

// Total returns the number of requests in all groups, which is also that in all windows.
func (l Losses) Total() int {
	n := 0
	for _, g := range l.Groups {
		n += g.Requests
	}
	return n
}

// String formats the losses as two tables, by group and by window.
func (l Losses) String() string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "requests\tcause\tdatabase\tclass\tattempts\tmean ms\thosts\tfirst\tlast\n")
	for _, g := range l.Groups {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", g.Requests, g.label(), g.Database, g.Class, g.Attempts,
			g.WaitedMilliseconds/int64(g.Requests), g.Hosts, g.First.Format("15:04:05.0"), g.Last.Format("15:04:05.0"))
	}
	fmt.Fprintf(w, "%d\tin all\n", l.Total())
	_ = w.Flush() // a strings.Builder does not fail
	labels := map[string]bool{}
	for _, x := range l.Windows {
		for c := range x.Causes {
			labels[c] = true
		}
	}
	columns := slices.Sorted(maps.Keys(labels))
	fmt.Fprintf(w, "\nfrom\t%s\n", strings.Join(columns, "\t"))
	for _, x := range l.Windows {
		fmt.Fprint(w, x.Start.Format("15:04:05"))
		for _, c := range columns {
			fmt.Fprintf(w, "\t%d", x.Causes[c])
		}
		fmt.Fprintln(w)
	}
	_ = w.Flush()
	if l.Dropped > 0 {
		fmt.Fprintf(&b, "\n%d log lines were left out by the bound of the logs\n", l.Dropped)
	}
	return b.String()
}

func numberValue(v any) float64 {
	n, _ := v.(float64)
	return n
}
