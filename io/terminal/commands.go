package terminal

import "strings"

// command is one row of the command table.
type command struct {
	// group and verb are the two words of the command; verb may be empty.
	group, verb string
	// title is the description in the help text.
	title string
	// example is a complete command line for the help text.
	example string
	// arg is the name of the positional argument; empty if there is none.
	arg string
	// flags are the names of the command's own flags, besides the global ones.
	flags []string
	// changeKind is the kind of change that the command sends; empty if none.
	changeKind string
	// listName is the name of the list that the command prints; empty if none.
	listName string
	// handler runs a command that neither sends a change nor prints a list.
	handler func(*session) error
	// offline is true if the command contacts no daemon and needs no token.
	offline bool
}

// changeFlags are the flags of every command that sends a change.
var changeFlags = []string{"expect", "id", "author"}

// withChangeFlags returns names followed by changeFlags.
func withChangeFlags(names ...string) []string { return append(names, changeFlags...) }

// commands is the command table.
var commands = []command{
	{group: "class", verb: "list", title: "List the classes and their targets", example: "papayaspoke class list", listName: "classes"},
	{group: "class", verb: "set", title: "Create a class or change its target", example: "papayaspoke class set urgent --target 2s --expect 0", arg: "name", flags: withChangeFlags("target"), changeKind: "set-class"},
	{group: "class", verb: "remove", title: "Remove a class", example: "papayaspoke class remove letters --expect 3", arg: "name", flags: changeFlags, changeKind: "remove-class"},
	{group: "model", verb: "list", title: "List the base models", example: "papayaspoke model list", listName: "models"},
	{group: "model", verb: "put", title: "Add a base model", example: "papayaspoke model put base --expect 0", arg: "name", flags: changeFlags, changeKind: "put-model"},
	{group: "model", verb: "remove", title: "Remove a base model that no adapter uses", example: "papayaspoke model remove base --expect 1", arg: "name", flags: changeFlags, changeKind: "remove-model"},
	{group: "adapter", verb: "list", title: "List the adapters", example: "papayaspoke adapter list", listName: "adapters"},
	{group: "adapter", verb: "put", title: "Add an adapter at a version", example: "papayaspoke adapter put notes@v3 --model base --expect 0", arg: "name@version", flags: withChangeFlags("model"), changeKind: "put-adapter"},
	{group: "adapter", verb: "remove", title: "Remove an adapter's version; work in flight finishes", example: "papayaspoke adapter remove notes@v2 --expect 1", arg: "name@version", flags: changeFlags, changeKind: "remove-adapter"},
	{group: "store", verb: "show", title: "Show the limits of the weight store", example: "papayaspoke store show", listName: "store"},
	{group: "store", verb: "set", title: "State what the weight store allows", example: "papayaspoke store set --loads 3 --transit 8 --expect 0", flags: withChangeFlags("loads", "transit"), changeKind: "set-store"},
	{group: "upstream", verb: "list", title: "List the upstreams with owner and load", example: "papayaspoke upstream list", listName: "upstreams"},
	{group: "daemon", verb: "list", title: "List the daemons", example: "papayaspoke daemon list", listName: "daemons"},
	{group: "daemon", verb: "drain", title: "Take a daemon out of service; work in flight finishes", example: "papayaspoke daemon drain piraeus-2 --expect 0", arg: "name", flags: changeFlags, changeKind: "drain"},
	{group: "daemon", verb: "undrain", title: "Put a drained daemon back into service", example: "papayaspoke daemon undrain piraeus-2 --expect 1", arg: "name", flags: changeFlags, changeKind: "undrain"},
	{group: "voter", verb: "list", title: "List the voters, the leader and the progress of each", example: "papayaspoke voter list", listName: "voters"},
	{group: "witness", verb: "list", title: "List the witnesses", example: "papayaspoke witness list", listName: "witnesses"},
	{group: "witness", verb: "add", title: "Add a witness", example: "papayaspoke witness add glyfada-3 --expect 2", arg: "name", flags: changeFlags, changeKind: "add-witness"},
	{group: "witness", verb: "remove", title: "Remove a witness that is gone for good", example: "papayaspoke witness remove glyfada-3 --expect 3", arg: "name", flags: changeFlags, changeKind: "remove-witness"},
	{group: "history", title: "List the latest changes", example: "papayaspoke history", listName: "history"},
	{group: "dump", title: "Print the state of the daemon at the first address", example: "papayaspoke dump", handler: printState},
	{group: "metrics", title: "Print the metrics of the daemon at the first address", example: "papayaspoke metrics", handler: printMetrics},
	{group: "trace", title: "Print the lines of the given logs about one request, in order of time", example: "papayaspoke trace 9c41d07be2a35f68 --log piraeus-1.log --log marousi-2.log", arg: "id", flags: []string{"log"}, handler: trace, offline: true},
	{group: "recover", title: "Start a new cluster from the most recent state that a daemon holds, after a majority of voters was lost", example: "papayaspoke recover --yes", flags: []string{"yes"}, handler: recoverCluster},
}

// Commands returns the names of all commands, such as "class list".
func Commands() []string {
	var names []string
	for _, c := range commands {
		names = append(names, strings.TrimSpace(c.group+" "+c.verb))
	}
	return names
}
