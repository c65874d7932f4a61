package terminal

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"papayaspoke/core/result"
	"papayaspoke/io/protocol/operator"
	"papayaspoke/io/terminal/cmdline"
)

const (
	// changeTimeout bounds one command, resends of a pending change included.
	changeTimeout = 15 * time.Second
)

// options are what the command line gave.
type options struct {
	operators []string
	token     string
	json      bool
	target    string
	model     string
	loads     uint32
	transit   uint32
	expect    uint64
	id        string
	author    string
	yes       bool
	logs      []string
	arg       string
}

// session is one run of one command.
type session struct {
	opts   *options
	client *operator.Client
	token  string
	cmd    command
	out    io.Writer
}

type flagSpec func(*flaggy.Subcommand, *options)

var flagSpecs = map[string]flagSpec{
	"target": func(sc *flaggy.Subcommand, o *options) {
		sc.String(&o.target, "", "target", "How soon answers must arrive, such as 2s or 500ms")
	},
	"model": func(sc *flaggy.Subcommand, o *options) { sc.String(&o.model, "", "model", "Base model of the adapter") },
	"loads": func(sc *flaggy.Subcommand, o *options) { sc.UInt32(&o.loads, "", "loads", "Adapter loads a second") },
	"transit": func(sc *flaggy.Subcommand, o *options) {
		sc.UInt32(&o.transit, "", "transit", "Loads in transit at full speed")
	},
	"expect": func(sc *flaggy.Subcommand, o *options) {
		sc.UInt64(&o.expect, "", "expect", "Version of the object that you saw; 0 creates it")
	},
	"id": func(sc *flaggy.Subcommand, o *options) {
		sc.String(&o.id, "", "id", "Change id; give the same one to send a change again")
	},
	"author": func(sc *flaggy.Subcommand, o *options) {
		sc.String(&o.author, "", "author", "Who makes the change, for the history")
	},
	"log": func(sc *flaggy.Subcommand, o *options) {
		sc.StringSlice(&o.logs, "", "log", "Log of a daemon; may be repeated")
	},
	"yes": func(sc *flaggy.Subcommand, o *options) { sc.Bool(&o.yes, "", "yes", "Confirm") },
}

// Run executes the command line and returns the exit status.
func Run(args []string, out, errOut io.Writer) int {
	opts := &options{}
	cmd, err := parse(args, opts)
	if errors.Is(err, cmdline.ErrHelp) {
		return 0
	}
	if err != nil {
		return fail(errOut, err)
	}
	var token []byte
	if !cmd.offline {
		token, err = os.ReadFile(opts.token)
	}
	if err != nil {
		return fail(errOut, result.New(result.WrongToken, "--token: %w", err))
	}
	s := &session{opts: opts, cmd: cmd, out: out}
	s.token = strings.TrimSpace(string(token))
	s.client = operator.NewClient(opts.operators, s.token)
	if err := s.run(); err != nil {
		return fail(errOut, err)
	}
	return 0
}

func fail(w io.Writer, err error) int {
	code := result.CodeOf(err)
	fmt.Fprintln(w, err)
	fmt.Fprintln(w, "What to do:", result.Lookup(code).Advice)
	return result.Exit(code)
}

func parse(args []string, opts *options) (command, error) {
	p := flaggy.NewParser("papayaspoke")
	p.Description = "Operators' client of papayaspoke."
	p.AdditionalHelpAppend = "\nExample: papayaspoke class list --operator 127.0.0.1:7001 --token token"
	p.ShowHelpOnUnexpected = true
	opts.token = os.Getenv("PAPAYASPOKE_TOKEN_FILE")
	p.StringSlice(&opts.operators, "o", "operator", "Operator address of a daemon, IP:PORT; may be repeated (or PAPAYASPOKE_OPERATOR)")
	p.String(&opts.token, "t", "token", "File with the operators' token (or PAPAYASPOKE_TOKEN_FILE)")
	p.Bool(&opts.json, "j", "json", "Print JSON")
	leaves := attach(p, opts)
	if err := cmdline.Parse(p, args); err != nil {
		return command{}, err
	}
	if env := os.Getenv("PAPAYASPOKE_OPERATOR"); env != "" && len(opts.operators) == 0 {
		opts.operators = strings.Split(env, ",")
	}
	for sc, cmd := range leaves {
		if sc.Used {
			return cmd, nil
		}
	}
	p.ShowHelp()
	return command{}, result.New(result.Malformed, "name a command")
}

// attach adds the command table to the parser and returns the row that each
// last word stands for.
func attach(p *flaggy.Parser, opts *options) map[*flaggy.Subcommand]command {
	groups := make(map[string]*flaggy.Subcommand)
	leaves := make(map[*flaggy.Subcommand]command)
	for _, cmd := range commands {
		leaf := flaggy.NewSubcommand(cmd.group)
		if cmd.verb == "" {
			p.AttachSubcommand(leaf, 1)
		} else {
			if groups[cmd.group] == nil {
				groups[cmd.group] = flaggy.NewSubcommand(cmd.group)
				groups[cmd.group].Description = "See papayaspoke " + cmd.group + " --help"
				p.AttachSubcommand(groups[cmd.group], 1)
			}
			leaf = flaggy.NewSubcommand(cmd.verb)
			groups[cmd.group].AttachSubcommand(leaf, 1)
		}
		leaf.Description = cmd.title
		leaf.AdditionalHelpAppend = "\nExample: " + cmd.example
		if cmd.arg != "" {
			leaf.AddPositionalValue(&opts.arg, cmd.arg, 1, true, "")
		}
		for _, name := range cmd.flags {
			flagSpecs[name](leaf, opts)
		}
		leaves[leaf] = cmd
	}
	return leaves
}

func (s *session) run() error {
	switch {
	case s.cmd.run != nil:
		return s.cmd.run(s)
	case s.cmd.list != "":
		return s.list()
	default:
		return s.change()
	}
}

func (s *session) list() error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	t, err := s.client.List(ctx, s.cmd.list)
	if err != nil {
		return err
	}
	if s.opts.json {
		return s.printJSON(t)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Columns, "\t")))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (s *session) change() error {
	c, err := s.buildChange()
	if err != nil {
		return err
	}
	a, err := s.send(c)
	if err != nil {
		return fmt.Errorf("change id %s: %w", c.ID, err)
	}
	if s.opts.json {
		if err := s.printJSON(a); err != nil {
			return err
		}
	} else if a.Code == 0 {
		fmt.Fprintf(s.out, "accepted: %s is now version %d (change id %s)\n", cmp.Or(c.Name, s.cmd.group), a.Version, c.ID)
	}
	if a.Code != 0 {
		return result.New(result.Code(a.Code), "%s (current version %d, change id %s)", a.Detail, a.Version, c.ID)
	}
	return nil
}

func (s *session) buildChange() (operator.Change, error) {
	o := s.opts
	c := operator.Change{ID: o.id, Kind: s.cmd.kind, Name: o.arg, Expect: o.expect, Author: o.author, Model: o.model, Loads: o.loads, Transit: o.transit}
	if c.ID == "" {
		c.ID = rand.Text()
	}
	if o.target == "" {
		return c, nil
	}
	d, err := time.ParseDuration(o.target)
	if err != nil || d <= 0 {
		return c, result.New(result.ChangeInvalid, "--target %q is not a time such as 2s", o.target)
	}
	c.Target = uint64(d.Milliseconds())
	return c, nil
}

// send resends a change under the same id while its outcome is not known.
func (s *session) send(c operator.Change) (operator.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	return operator.RetryUntilFinal(ctx, s.client, c)
}

func (s *session) printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	_, err = fmt.Fprintln(s.out, string(b))
	return err
}

func dump(s *session) error    { return s.printPath("/v1/state") }
func metrics(s *session) error { return s.printPath("/metrics") }

func (s *session) printPath(path string) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	raw, err := s.client.Get(ctx, path)
	if err != nil {
		return err
	}
	_, err = s.out.Write(raw)
	return err
}

func recoverCluster(s *session) error {
	if !s.opts.yes {
		return result.New(result.ChangeRefused, "this gives up what only the lost voters knew; confirm with --yes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	addr, err := s.mostAdvanced(ctx)
	if err != nil {
		return err
	}
	a, err := operator.NewClient([]string{addr}, s.token).Recover(ctx)
	if err != nil {
		return err
	}
	if a.Code != 0 {
		return result.New(result.Code(a.Code), "%s", a.Detail)
	}
	fmt.Fprintln(s.out, "a new cluster starts from the state at index", a.Index)
	return nil
}

// mostAdvanced returns the address of the daemon with a disk whose state is
// the newest among those given.
func (s *session) mostAdvanced(ctx context.Context) (string, error) {
	best, found := "", uint64(0)
	for _, addr := range s.opts.operators {
		raw, err := operator.NewClient([]string{addr}, s.token).Get(ctx, "/v1/state")
		if err != nil {
			continue
		}
		var d struct {
			Role    string `json:"role"`
			Applied uint64 `json:"applied"`
		}
		if json.Unmarshal(raw, &d) == nil && d.Role != "" && (best == "" || d.Applied > found) {
			best, found = addr, d.Applied
		}
	}
	if best == "" {
		return "", result.New(result.Unreachable, "no daemon with a disk answers at the addresses given")
	}
	return best, nil
}
