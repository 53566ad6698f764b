package pool

import (
	"slices"
	"strings"
	"time"

	"github.com/jacinthtiller/jacinthtiller"
)

// TargetState is the state of one target in a dump.
type TargetState struct {
	Target              jacinthtiller.Target   `json:"target"`
	Open                int                    `json:"open"`
	Idle                int                    `json:"idle"`
	FairShare           int                    `json:"fair"`
	Load                int                    `json:"load"`
	Waiting             map[string]int         `json:"waiting"`
	LatencyMicroseconds int64                  `json:"latency-microseconds"`
	Seen                jacinthtiller.Position `json:"seen"`
	Direct              bool                   `json:"direct"`
	// LearnedLimit is the learned limit of this gateway's statements in flight; 0 when none is learned.
	LearnedLimit float64   `json:"learned-limit,omitempty"`
	FailingSince time.Time `json:"failing-since"`
}

// Dump returns the state of all targets, ordered by database and name.
func (p *Pool) Dump() []TargetState {
	var out []TargetState
	for _, t := range p.Targets() {
		waiting := t.gate.Stats().Waiting
		t.mu.Lock()
		out = append(out, TargetState{
			Target: t.spec, Open: t.openConns, Idle: len(t.idle), FairShare: t.fairShare, Load: t.load, Waiting: waiting,
			LatencyMicroseconds: t.latencyMicroseconds, Seen: t.newestPosition, Direct: t.direct, FailingSince: t.directPath.failureStart(),
			LearnedLimit: t.learned.value(),
		})
		t.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b TargetState) int {
		return strings.Compare(a.Target.Database+"/"+a.Target.Name, b.Target.Database+"/"+b.Target.Name)
	})
	return out
}
