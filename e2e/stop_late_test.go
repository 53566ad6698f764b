package e2e_test

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
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

// TestStopDuringStart guards against a stop whose time is counted from the end of a slow start instead of from the signal.
func TestStopDuringStart(t *testing.T) {
	convey.Convey("A host that gets SIGTERM while it starts ends in time", t, func() {
		n := startPlatform(t)
		trace := filepath.Join(n.dir, "trace")
		convey.So(syscall.Mkfifo(trace, 0o600), convey.ShouldBeNil) // the start waits for a reader
		p := n.execHost("edge-3", "--trace-file="+trace)
		time.Sleep(500 * time.Millisecond)
		began := time.Now()
		convey.So(p.cmd.Process.Signal(syscall.SIGTERM), convey.ShouldBeNil)
		time.Sleep(stopTime * 2 / 3)
		reader, err := os.OpenFile(trace, os.O_RDONLY|syscall.O_NONBLOCK, 0)
		convey.So(err, convey.ShouldBeNil)
		defer reader.Close()
		n.group.Go(func() { _, _ = io.Copy(io.Discard, reader) })
		select {
		case <-p.exited:
		case <-time.After(2 * stopTime):
		}
		took := time.Since(began)
		t.Logf("the host took %v", took)
		convey.So(took, convey.ShouldBeLessThan, stopTime)
		convey.So(p.cmd.ProcessState.ExitCode(), convey.ShouldEqual, 0)
	})
}

// execHost starts an entry host at a fixed address and does not wait until it reports its start. It is killed with the test
// if it still runs then.
func (n *platformInstallation) execHost(name string, args ...string) *process {
	address := freeAddress(n.t)
	p := &process{name: name, guestAddress: address, output: &lockedBuffer{}, exited: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	n.t.Cleanup(cancel)
	args = append(args, n.settings(name, "role entry", "guest-listen "+address, "link-listen 127.0.0.1:0", "ready-listen "+freeAddress(n.t)))
	p.cmd = exec.CommandContext(ctx, filepath.Join(n.binDir, "jacinthd"), args...)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	convey.So(p.cmd.Start(), convey.ShouldBeNil)
	n.group.Go(func() {
		_ = p.cmd.Wait()
		close(p.exited)
	})
	return p
}

// TestControlStopWithSilentConnection guards against a control process that does not end within its time to stop because a caller
// has connected and sends nothing.
func TestControlStopWithSilentConnection(t *testing.T) {
	convey.Convey("A control process to which a caller has connected that sends nothing stops in time", t, func() {
		n := startPlatform(t)
		c, err := net.Dial("tcp", n.seeds[0])
		convey.So(err, convey.ShouldBeNil)
		defer c.Close()
		time.Sleep(50 * time.Millisecond) // the process accepts the connection
		began := time.Now()
		convey.So(n.control["core-0"].terminate(), convey.ShouldEqual, 0)
		took := time.Since(began)
		t.Logf("the process took %v", took)
		convey.So(took, convey.ShouldBeLessThan, stopTime)
	})
}
