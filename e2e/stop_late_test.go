package e2e_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// stopTime is the time that the platform gives the hosts of startPlatform for a stop, after which it would kill them.
const stopTime = 3 * time.Second

// TestStopDuringReload guards against a stop that waits for a reload of the settings, while the platform's time for the stop
// runs.
func TestStopDuringReload(t *testing.T) {
	convey.Convey("A host stops in time although the settings file can't be read", t, func() {
		n := startPlatform(t)
		host := n.hosts["edge-0"]
		path := filepath.Join(n.dir, "edge-0.conf")
		convey.So(os.Remove(path), convey.ShouldBeNil)
		convey.So(syscall.Mkfifo(path, 0o600), convey.ShouldBeNil) // a read of it waits for a writer
		convey.So(host.cmd.Process.Signal(syscall.SIGHUP), convey.ShouldBeNil)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		convey.So(host.cmd.Process.Signal(syscall.SIGTERM), convey.ShouldBeNil)
		select {
		case <-host.exited:
		case <-time.After(2 * stopTime):
		}
		took := time.Since(began)
		t.Logf("the host took %v", took)
		convey.So(took, convey.ShouldBeLessThan, stopTime)
		convey.So(host.cmd.ProcessState.ExitCode(), convey.ShouldEqual, 0)
	})
}
