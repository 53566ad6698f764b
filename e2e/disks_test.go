package e2e_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

const (
	// fullDisk is how long a disk is full; the process reopens its log many times meanwhile.
	fullDisk = 2 * time.Second
	// ackLimit is the time in which a change must be acknowledged while one disk is full or after it was.
	ackLimit = 6 * time.Second
)

// setDiskFull makes all writes of a process to files fail, as on a full disk, or lets them succeed again.
func (p *process) setDiskFull(full bool) error {
	l := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		l.Cur = 0
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &l, nil); err != nil {
		return fmt.Errorf("limit the files of %s: %w", p.name, err)
	}
	return nil
}

// TestFullDisks guards against a control group that refuses changes, or leaves them unanswered, long after the disks of its
// members were full for seconds each, one after another and never two at once.
func TestFullDisks(t *testing.T) {
	if testing.Short() {
		t.Skip("starts 6 processes")
	}
	convey.Convey("The disks of the control processes are full in turn while the configuration changes", t, func() {
		n := startPlatform(t)
		version, slowest := 1, time.Duration(0)
		change := func() {
			version++
			began := time.Now()
			n.putConfig(platformConfig(version, 2000))
			slowest = max(slowest, time.Since(began))
		}
		names := slices.Sorted(maps.Keys(n.control))
		for round := range 2 * len(names) {
			p := n.control[names[round%len(names)]]
			convey.So(p.setDiskFull(true), convey.ShouldBeNil)
			for end := time.Now().Add(fullDisk); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				change()
			}
			convey.So(p.setDiskFull(false), convey.ShouldBeNil)
			n.awaitVoters(p.name, n.seeds[slices.Index(names, p.name)])
			convey.So(p.output.String(), convey.ShouldContainSubstring, "control-reopened")
		}
		change()
		t.Logf("%d changes, the slowest acknowledged after %v", version-1, slowest.Round(time.Millisecond))
		convey.So(slowest, convey.ShouldBeLessThan, ackLimit)
		convey.So(n.readConfig(), convey.ShouldEqual, platformConfig(version, 2000))
		for _, p := range n.control {
			select {
			case <-p.exited:
				convey.So(p.name, convey.ShouldEqual, "running")
			default:
			}
		}
	})
}
