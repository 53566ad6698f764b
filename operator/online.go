package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/control"
)

// operatorCredentials returns the operator's name from the command line and the token from its file.
func (t *tool) operatorCredentials() (control.Operator, error) {
	o := control.Operator{Name: t.operatorName}
	if t.tokenFile == "" {
		return o, nil
	}
	b, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return o, fmt.Errorf("read the operator's token: %w", err)
	}
	o.Token = strings.TrimSpace(string(b))
	return o, nil
}

// callControl runs f with a client of control and the command's deadline.
func (t *tool) callControl(ctx context.Context, f func(context.Context, *control.Client) error) error {
	ctx, cancel, c, err := t.controlClient(ctx)
	if err != nil {
		return err
	}
	defer cancel()
	if err := f(ctx, c); err != nil {
		return withExitCode(err)
	}
	return nil
}

// callAsOperator is like callControl and passes the operator's credentials to f.
func (t *tool) callAsOperator(ctx context.Context, f func(context.Context, *control.Client, control.Operator) error) error {
	operator, err := t.operatorCredentials()
	if err != nil {
		return err
	}
	return t.callControl(ctx, func(ctx context.Context, c *control.Client) error { return f(ctx, c, operator) })
}

// sectionCommands returns the commands for a team's section of the document.
func (t *tool) sectionCommands() *ffcli.Command {
	get := t.newCommand("section get", "TEAM", "Print a team's section.", 1, t.addControlFlags,
		func(ctx context.Context, args []string) error { return t.getSection(ctx, args[0]) })
	var apply applyFlags
	set := t.newCommand("section apply", "TEAM FILE", "Replace a team's section with a file; - is standard input.", 2,
		func(fs *flag.FlagSet) {
			t.addControlFlags(fs)
			fs.Int64Var(&apply.revision, "if-revision", -1, "revision that the edit replaces; the current one when negative")
			fs.StringVar(&apply.request, "request-id", "", "id under which the edit can be resent; a new one when empty")
			fs.BoolVar(&apply.wait, "wait", false, "wait until all live hosts have the edit in force")
		},
		func(ctx context.Context, args []string) error { return t.applySection(ctx, apply, args[0], args[1]) })
	history := t.newCommand("section history", "TEAM", "List the revisions of a section.", 1, t.addControlFlags,
		func(ctx context.Context, args []string) error { return t.sectionHistory(ctx, args[0]) })
	diff := t.newCommand("section diff", "TEAM FILE", "Show how a file differs from the section in force.", 2, t.addControlFlags,
		func(ctx context.Context, args []string) error { return t.diffSection(ctx, args[0], args[1]) })
	return t.groupCommand("section", "Read and edit a team's section of the document.", get, set, history, diff)
}

func (t *tool) getSection(ctx context.Context, team string) error {
	return t.callAsOperator(ctx, func(ctx context.Context, c *control.Client, operator control.Operator) error {
		r, err := c.SectionGet(ctx, control.SectionGetRequest{Operator: operator, Team: team})
		if err != nil {
			return err
		}
		if r.Section.Revision == 0 {
			return fmt.Errorf("team %s has no section", team)
		}
		return t.writeOutput(r, func(w io.Writer) {
			fmt.Fprintf(w, "# team %s, revision %d, by %s\n%s", team, r.Section.Revision, r.Section.Author, r.Section.Text)
		})
	})
}

// applyFlags are the flags of section apply.
type applyFlags struct {
	revision int64
	request  string
	wait     bool
}

func readSection(path string) (string, error) {
	if path == "-" {
		b, err := io.ReadAll(os.Stdin)
		if err != nil {
			return "", fmt.Errorf("read standard input: %w", err)
		}
		return string(b), nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read the section: %w", err)
	}
	return string(b), nil
}

func (t *tool) applySection(ctx context.Context, f applyFlags, team, path string) error {
	text, err := readSection(path)
	if err != nil {
		return err
	}
	operator, err := t.operatorCredentials()
	if err != nil {
		return err
	}
	m := control.SectionApplyRequest{Operator: operator, Team: team, Text: text, Request: f.request, Replaces: uint64(max(0, f.revision))}
	if m.Request == "" {
		m.Request = newRequestID()
	}
	if f.wait {
		m.WaitMicroseconds = int64(t.timeoutMilliseconds) * 1000 * 8 / 10
	}
	return t.callControl(ctx, func(ctx context.Context, c *control.Client) error {
		if f.revision < 0 {
			current, err := c.SectionGet(ctx, control.SectionGetRequest{Operator: operator, Team: team})
			if err != nil {
				return err
			}
			m.Replaces = current.Section.Revision
		}
		fmt.Fprintf(t.messages, "request id %s\n", m.Request)
		r, err := c.SectionApply(ctx, m)
		if err != nil {
			if refusal := withExitCode(err); errors.As(refusal, new(*exitError)) && connect.CodeOf(err) != connect.CodeDeadlineExceeded {
				return refusal
			}
			return &exitError{code: ExitUnknown, err: fmt.Errorf("%w; repeat with --request-id %s --if-revision %d", err, m.Request, m.Replaces)}
		}
		return t.printApplyResult(r, f.wait)
	})
}

// newRequestID returns a random request ID.
func newRequestID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b) // never fails on supported systems
	return hex.EncodeToString(b)
}

func (t *tool) printApplyResult(r control.SectionApplyResponse, wait bool) error {
	err := t.writeOutput(r, func(w io.Writer) {
		switch r.Outcome {
		case control.SectionAccepted:
			fmt.Fprintf(w, "accepted as revision %d at index %d\n", r.Revision, r.Index)
			for _, h := range r.InForce {
				fmt.Fprintf(w, "%s\tin force\n", h)
			}
			for _, h := range r.Waiting {
				fmt.Fprintf(w, "%s\tnot yet in force\n", h)
			}
		case control.SectionConflict:
			fmt.Fprintf(w, "conflict: the section is at revision %d by %s:\n%s", r.Current.Revision, r.Current.Author, r.Current.Text)
		case control.SectionInvalid:
			for _, f := range r.Faults {
				fmt.Fprintln(w, f)
			}
		default:
			fmt.Fprintln(w, "the request id was used with other content")
		}
	})
	if err != nil {
		return err
	}
	if r.Outcome != control.SectionAccepted {
		return &exitError{code: ExitRefused, err: fmt.Errorf("the section was refused: %s", r.Outcome)}
	}
	if wait && len(r.Waiting) > 0 {
		return fmt.Errorf("accepted, but %d hosts do not have it in force yet", len(r.Waiting))
	}
	return nil
}

func (t *tool) sectionHistory(ctx context.Context, team string) error {
	return t.callAsOperator(ctx, func(ctx context.Context, c *control.Client, operator control.Operator) error {
		r, err := c.SectionHistory(ctx, control.SectionHistoryRequest{Operator: operator, Team: team})
		if err != nil {
			return err
		}
		return t.writeOutput(r, func(w io.Writer) {
			fmt.Fprintln(w, "REVISION\tAUTHOR\tLINES")
			for _, s := range r.Revisions {
				fmt.Fprintf(w, "%d\t%s\t%d\n", s.Revision, s.Author, strings.Count(s.Text, "\n"))
			}
		})
	})
}

func (t *tool) diffSection(ctx context.Context, team, path string) error {
	text, err := readSection(path)
	if err != nil {
		return err
	}
	return t.callAsOperator(ctx, func(ctx context.Context, c *control.Client, operator control.Operator) error {
		r, err := c.SectionGet(ctx, control.SectionGetRequest{Operator: operator, Team: team})
		if err != nil {
			return err
		}
		lines := diffLines(strings.Split(r.Section.Text, "\n"), strings.Split(text, "\n"))
		return t.writeOutput(lines, func(w io.Writer) {
			for _, l := range lines {
				fmt.Fprintln(w, l)
			}
		})
	})
}

// diffLines returns the lines of both texts, marked with "-" when only in a, "+" when only in b
// and " " when in both, by the longest common subsequence.
func diffLines(a, b []string) []string {
	lcsLength := make([][]int, len(a)+1)
	for i := range lcsLength {
		lcsLength[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lcsLength[i][j] = lcsLength[i+1][j+1] + 1
			} else {
				lcsLength[i][j] = max(lcsLength[i+1][j], lcsLength[i][j+1])
			}
		}
	}
	var out []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out = append(out, " "+a[i])
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && lcsLength[i+1][j] >= lcsLength[i][j+1]:
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	return out
}

// statusCommand prints the hosts, leases and targets.
func (t *tool) statusCommand() *ffcli.Command {
	return t.newCommand("status", "", "Show hosts, leases, targets and the revision in force on each host.", 0, t.addControlFlags,
		func(ctx context.Context, _ []string) error {
			return t.callControl(ctx, func(ctx context.Context, c *control.Client) error {
				r, err := c.Status(ctx)
				if err != nil {
					return err
				}
				return t.writeOutput(r, func(w io.Writer) { writeStatus(w, r) })
			})
		})
}

func writeStatus(w io.Writer, r control.StatusResponse) {
	fmt.Fprintf(w, "leader %s, term %d, index %d, document %d\n\n", r.Leader, r.Term, r.Index, r.Document)
	fmt.Fprintln(w, "HOST\tDOMAIN\tLEASE\tIN FORCE\tTARGETS\tGUESTS")
	for _, h := range r.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", h.Host.Name, h.Host.Domain, h.Lease, h.InForce, h.Targets, h.Host.Guests)
	}
	fmt.Fprintln(w, "\nDATABASE\tTERM\tTARGET\tROLE\tSTATE\tOWNER\tEPOCH\tADDRESS")
	for _, d := range r.Databases {
		for _, name := range d.TargetNames() {
			target := d.Targets[name]
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\n", d.Name, d.Term, name, targetRole(d, name), targetState(target), target.Owner, target.Epoch, target.Address)
		}
	}
	fmt.Fprintln(w, "\nSECTION\tREVISION")
	for _, team := range slices.Sorted(maps.Keys(r.Sections)) {
		fmt.Fprintf(w, "%s\t%d\n", team, r.Sections[team])
	}
	if len(r.Accounts) == 0 {
		return
	}
	fmt.Fprintln(w, "\nACCOUNT\tPRIORITY\tKEYS\tRATE\tBURST")
	for _, a := range r.Accounts {
		rate, burst := "unlimited", "-"
		if a.Limit != nil {
			rate, burst = fmt.Sprintf("%g/s", a.Limit.PerSecond), fmt.Sprintf("%g", a.Limit.Burst)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", a.Name, a.Priority, a.Keys, rate, burst)
	}
}

func targetRole(d jacinthtiller.Database, name string) jacinthtiller.Role {
	if d.Primary == name {
		return jacinthtiller.RolePrimary
	}
	return jacinthtiller.RoleReplica
}

func targetState(t jacinthtiller.Target) string {
	if t.Lost {
		return "lost"
	}
	return string(t.State)
}

// targetCommands returns the commands for targets.
func (t *tool) targetCommands() *ffcli.Command {
	leave := t.newCommand("target leave", "DATABASE TARGET", "Give a target no new work and move the primary away from it.", 2, t.addControlFlags,
		func(ctx context.Context, args []string) error {
			return t.callAsOperator(ctx, func(ctx context.Context, c *control.Client, operator control.Operator) error {
				return c.TargetLeave(ctx, control.TargetLeaveRequest{Operator: operator, Database: args[0], Target: args[1]})
			})
		})
	return t.groupCommand("target", "Operate targets.", leave)
}

// primaryCommands returns the commands for primaries.
func (t *tool) primaryCommands() *ffcli.Command {
	move := t.newCommand("primary move", "DATABASE TARGET", "Make another target the primary without an error for guests.", 2, t.addControlFlags,
		func(ctx context.Context, args []string) error {
			operator, err := t.operatorCredentials()
			if err != nil {
				return err
			}
			m := control.MovePrimaryRequest{
				Operator: operator, Database: args[0], Target: args[1], WaitMicroseconds: int64(t.timeoutMilliseconds) * 1000 * 8 / 10,
			}
			return t.callControl(ctx, func(ctx context.Context, c *control.Client) error { return t.movePrimary(ctx, c, m) })
		})
	return t.groupCommand("primary", "Operate primaries.", move)
}

func (t *tool) movePrimary(ctx context.Context, c *control.Client, m control.MovePrimaryRequest) error {
	began := time.Now()
	r, err := c.MovePrimary(ctx, m)
	if err != nil {
		return err
	}
	if r.Database.Primary != m.Target {
		return fmt.Errorf("the primary of %s is %q after %d ms", m.Database, r.Database.Primary, time.Since(began).Milliseconds())
	}
	return t.writeOutput(r, func(w io.Writer) {
		fmt.Fprintf(w, "primary of %s is %s in term %d, after %d ms\n",
			m.Database, m.Target, r.Database.Term, time.Since(began).Milliseconds())
	})
}

// memberCommands returns the commands for the control group.
func (t *tool) memberCommands() *ffcli.Command {
	list := t.newCommand("control members", "", "List the members of the control group.", 0, t.addControlFlags,
		func(ctx context.Context, _ []string) error {
			return t.callControl(ctx, func(ctx context.Context, c *control.Client) error {
				r, err := c.Members(ctx)
				if err != nil {
					return err
				}
				return t.writeOutput(r, func(w io.Writer) { writeMembers(w, r) })
			})
		})
	change := func(name, help string, actions ...control.MemberAction) *ffcli.Command {
		return t.newCommand("control "+name, "NAME", help, 1, t.addControlFlags, func(ctx context.Context, args []string) error {
			return t.changeMember(ctx, args[0], actions)
		})
	}
	return t.groupCommand("control", "Operate the control group.", list,
		change("add", "Add a member; it votes once it has caught up.", control.MemberAdd, control.MemberPromote),
		change("remove", "Remove a member.", control.MemberRemove),
		change("repair", "Take a member out and in again, when it stays a learner after it returned with an empty data folder.",
			control.MemberRemove, control.MemberAdd, control.MemberPromote))
}

func writeMembers(w io.Writer, r control.MembersResponse) {
	fmt.Fprintf(w, "role %s, leader %s, term %d, commit %d, applied %d\n\n", r.Log.Role, r.Log.Leader, r.Log.Term, r.Log.Commit, r.Log.Applied)
	fmt.Fprintln(w, "MEMBER\tVOTER\tMATCH\tIDENTITY\tURL")
	for _, m := range r.Log.Members {
		fmt.Fprintf(w, "%s\t%t\t%d\t%s\t%s\n", m.Name, m.Voter, m.Match, m.Identity, r.URLs[m.Name])
	}
	if r.Log.RepairUnfinished {
		fmt.Fprintln(w, "\na repair is unfinished: a member is not yet a voter, or its data folder is another one")
	}
}

// changeMember runs the actions one after another. It retries a promotion until the promotion succeeds or the command's
// deadline passes; any other error ends the command.
func (t *tool) changeMember(ctx context.Context, name string, actions []control.MemberAction) error {
	return t.callAsOperator(ctx, func(ctx context.Context, c *control.Client, operator control.Operator) error {
		for _, a := range actions {
			fmt.Fprintf(t.messages, "%s %s\n", a, name)
			for {
				_, err := c.MemberChange(ctx, control.MemberChangeRequest{Operator: operator, Action: a, Name: name})
				if err == nil {
					break
				}
				// A learner can be promoted only once it has caught up with the log.
				if a != control.MemberPromote || ctx.Err() != nil {
					return err
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		return nil
	})
}
