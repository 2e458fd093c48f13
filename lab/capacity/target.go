package capacity

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"brassmux/lab/scaling"
)

// Assumption is a figure that the calculation takes for granted.
type Assumption struct {
	Name   string
	Value  float64
	Unit   string
	Source string
}

// The size that is coming, as the operators give it, and what is assumed beside it.
const (
	nodes         = 5700
	conns         = 260e6
	zones         = 17
	regions       = 5
	shards        = 1.7e6
	listeners     = 830_000
	deliveries    = 160e6
	changes       = 18_000
	changeWithin  = 14 // s
	controlCPU    = 0.022
	controlMemory = 128e6
	controlBytes  = 14e3
	machines      = 32
	restarts      = 1500
	day           = 86400.0

	servers   = 5000
	rack      = 40
	life      = 3600.0 // s, of a connection
	header    = 28     // of a datagram, IP and UDP
	segment   = 52     // of a write on a standing connection: IP, TCP with its times
	settings  = 4096   // bytes of a change of settings
	listBound = 1 << 20
	cores     = 1.0 // of a control machine
	fdLimit   = 20_000
	portRange = 28_232 // local ports of one address
	calls     = 20.0   // a second that the list service works through
)

// Assumptions are all of them.
func Assumptions() []Assumption {
	const given = "the operators"
	return []Assumption{
		{"nodes", nodes, "", given}, {"standing connections", conns, "", given}, {"zones", zones, "", given}, {"regions", regions, "", given},
		{"shards of topics", shards, "", given}, {"listeners of the largest topic", listeners, "", given}, {"deliveries", deliveries, "1/s", given},
		{"changes of configuration", changes, "a day", given}, {"a change is in force everywhere within", changeWithin, "s", given},
		{"restarts or replacements of nodes", restarts, "a day", given},
		{"control at a node: processor", controlCPU * 100, "% of a core", given}, {"control at a node: memory", controlMemory / 1e6, "MB", given},
		{"control at a node: bytes, in and out", controlBytes / 1e3, "KB/s", given}, {"control machines", machines, "", given},
		{"a control machine's processor", cores, "core", given},
		{"servers", servers, "", "assumed: 52,000 connections each"},
		{"machines on a rack or switch", rack, "", "assumed"},
		{"life of a connection", life, "s", "assumed: 72,000 clients a second come new or again on an ordinary day"},
		{"a change of settings", settings, "bytes", "assumed; of the list: measured"},
		{"headers of a datagram; of a write on a connection", header, "bytes; and 52", "IPv4, UDP; IPv4, TCP with its times"},
		{"calls that the list service works through", calls, "1/s", "assumed, as in the rig's `cold-start`"},
		{"descriptors that a process may have", fdLimit, "", "the limit of the machine that measured"},
		{"local ports of an address", portRange, "", "the kernel's usual range, 32,768 to 60,999"},
	}
}

// amount is a figure with its interval, and what it rests on.
type amount struct {
	y, low, high float64
	from         []string
	form         scaling.Verdict
	read         bool // it was measured at this very size
}

func exactly(y float64) amount { return amount{y: y, low: y, high: y} }

func (a amount) times(k float64) amount {
	a.y, a.low, a.high = a.y*k, a.low*k, a.high*k
	a.read = a.read && k == 1
	return a
}

func (a amount) plus(b amount) amount {
	form := a.form
	if b.form == scaling.Superlinear || form == "" {
		form = b.form
	}
	var from []string
	for _, name := range append(slices.Clone(a.from), b.from...) {
		if !slices.Contains(from, name) {
			from = append(from, name)
		}
	}
	return amount{a.y + b.y, a.low + b.low, a.high + b.high, from, form, false}
}

// Figure is what something costs at the target.
type Figure struct {
	Role, Name string
	Unit       string
	amount
	Limit             float64 // 0 where none is named
	Mechanism         string  // that carries it
	ControlNodeEffect string  // what control machines change of it, by design; "" nothing
}

// LimitRatio returns the estimate divided by the limit, or 0 if there is no limit.
func (f Figure) LimitRatio() float64 {
	if f.Limit == 0 {
		return 0
	}
	return f.y / f.Limit
}

// Load reads the files that runs were written to, as one run.
func Load(paths ...string) (*Results, error) {
	all := &Results{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		r := &Results{}
		if err := json.Unmarshal(data, r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		for _, s := range r.Measurements {
			if all.Measurement(s.Name) != nil {
				return nil, fmt.Errorf("%s: %s was measured in another file too", path, s.Name)
			}
			if s.Fit, err = scaling.FitModel(s.Points); err != nil {
				return nil, fmt.Errorf("%s: %s: %w", path, s.Name, err)
			}
		}
		if r.SizeDivisor != 1 {
			return nil, fmt.Errorf("%s: sizes were divided by %d, which tells nothing of the great ones", path, r.SizeDivisor)
		}
		all.Measurements = append(all.Measurements, r.Measurements...)
	}
	return all, nil
}

// Extrapolate calculates the figures at the target size.
func Extrapolate(r *Results) ([]Figure, error) {
	var missing []string
	at := func(name string, n float64) amount {
		s := r.Measurement(name)
		if s == nil {
			missing = append(missing, name)
			return amount{}
		}
		a := amount{from: []string{name}, form: s.Fit.Verdict}
		a.y, a.low, a.high = s.Fit.Predict(n)
		if slices.Contains(s.Sizes(), n) {
			a.read, a.y, a.low, a.high = true, s.Median(n), math.Inf(1), 0
			for _, p := range s.Points {
				if p.Size == n {
					a.low, a.high = min(a.low, p.Value), max(a.high, p.Value)
				}
			}
		}
		return a
	}
	var (
		each       = conns / nodes // connections of a node
		beatsEach  = 1 / beat.Seconds()
		asks       = nodes * beatsEach
		perChange  = changes / day // a second
		clientEach = each / life   // that come to a node in a second
		us         = 1e-6 * 100    // us a second as % of a core

		first    = at("place.first", servers)
		setup    = perConnection(at, "node.setup", 4000)
		message  = perConnection(at, "node.messages", 4000)
		held     = perConnection(at, "node.memory", 4000)
		arrive   = first.plus(setup) // us for a client that comes
		ask      = at("keeper.ask", nodes)
		idle     = at("keeper.beat", nodes)
		askWord  = at("keeper.ask_bytes", nodes).plus(exactly(header))
		ansWord  = at("keeper.answer_bytes", nodes).plus(exactly(header))
		change   = at("list.change_bytes", servers).plus(exactly(segment))
		listSize = at("list.bytes", servers)
	)
	const (
		role1 = "node, ordinary day"
		role2 = "keeper of the budgets, ordinary day"
		role3 = "list service, ordinary day"

		spread = "yes: 178 children on the mean at each of 32, which are a group of 32 above"
		later  = "no: lists are to go the same way, later"
	)
	control := controlCPU * 100.0
	moved := func(lost, left float64) float64 { return lost * each / left } // clients that each other node gets
	figures := []Figure{
		{role1, "words of the budgets, in and out", "bytes/s", askWord.plus(ansWord).times(beatsEach), controlBytes, "an ask a beat to one keeper", "yes: to its parent, not to one keeper"},
		{role1, "processor for them", "% of a core", at("follower.beat", nodes).times(beatsEach * us), control, "an ask a beat to one keeper", "yes: it knows at most 32 control machines, not all nodes"},
		{role1, "changes of the list, if each of the 18,000 is one", "bytes/s", change.times(perChange), controlBytes, "a watch at the list service", later},
		{role1, "processor to take these in", "% of a core", at("list.change", servers).times(perChange * us), control, "the watch, `balance`", ""},
		{role1, "processor to place those who come, each by a ranking worked out anew", "% of a core", first.times(clientEach * us), control, "rendezvous ranking of all servers", ""},
		{role1, "memory for control: process, servers, 1,024 rankings, budgets", "bytes", at("start.memory", nodes).plus(at("memory.rankings", servers)).plus(at("follower.memory", nodes)), controlMemory, "maps and slices of one process", "the budgets' part: it knows at most 32 control machines"},
		{role1, "of that, the rankings kept", "bytes", at("memory.rankings", servers), controlMemory, "1,024 rankings of all servers", ""},
		{role1, "its file, which names all nodes", "bytes", at("start.bytes", nodes), 0, "`peers.nodes`, read at a start", "yes: it names its control machines, at most 32"},
		{role1, "connections: memory (service, not control)", "bytes", held.times(each), 0, "two sockets and an exchange each", ""},
		{role1, "connections: descriptors (service)", "", at("node.descriptors", 4000).times(each / 4000), fdLimit, "two sockets each", ""},
		{role1, "connections: local ports, where the key `source` is set (service)", "", at("ports.source", 4000).times(each / 4000), portRange, "one address, whose ports the servers share: a port is taken before it is known for which server", ""},
		{role1, "deliveries: processor (service)", "% of a core", message.times(0.5 * deliveries / nodes * us), 0, "lines passed on; one way taken as half of there and back", ""},

		{role2, "processor, if each ask wants a unit, against an ordinary node's 2.2%", "% of a core", ask.times(asks * us), control, "one keeper for all budgets: `free` and `majority` go through all followers, `reserved` through all grants", spread},
		{role2, "processor, if no ask wants anything, against an ordinary node's 2.2%", "% of a core", idle.times(asks * us), control, "one keeper for all budgets: `majority` goes through all followers", spread},
		{role2, "processor, if each ask wants a unit, against a control machine's whole core", "% of a core", ask.times(asks * us), cores * 100, "one keeper for all budgets", spread},
		{role2, "words sent and received", "1/s", exactly(2 * asks), 0, "one ask and one answer a node and beat", spread},
		{role2, "bytes in and out", "bytes/s", askWord.plus(ansWord).times(asks), controlBytes, "one ask and one answer a node and beat", spread},
		{role2, "memory for it", "bytes", at("keeper.memory", nodes), controlMemory, "a follower and its lent amounts each", spread},

		{role3, "the whole list", "bytes", listSize, listBound, "one JSON line, at most 1 MiB", later},
		{role3, "writes of changes to watches", "1/s", exactly(nodes * perChange), 0, "each node watches the service itself", later},
		{role3, "bytes of these", "bytes/s", change.times(nodes * perChange), 0, "each node watches the service itself", later},
		{role3, "time until a node asks again after a first failed call", "s", at("pause.first", nodes), changeWithin, "a pause in proportion to the nodes, without words between them", later},
		{role3, "time until a node asks again after a third failed call", "s", at("pause.third", nodes), changeWithin, "a pause that grows from failure to failure, and in proportion to the nodes", later},

		{"a node starts (1,500 a day)", "processor until it takes clients", "us", at("start.cpu", nodes), 0, "one process, one file", ""},
		{"a node starts (1,500 a day)", "memory then", "bytes", at("start.memory", nodes), controlMemory, "one process, one file", ""},
		{"a node starts (1,500 a day)", "files that name all nodes and change with it, a day", "", exactly((restarts + 18) * nodes), 0, "`peers.nodes`, by file and restart at each node: nothing carries it", ""},
		{"a node starts (1,500 a day)", "its 45,600 clients come: processor", "s of a core", arrive.times(each * 1e-6), changeWithin, "placement among all servers; set-up", ""},
		{"a change of settings", "bytes to all nodes, a day", "bytes", exactly(settings * nodes * changes), 0, "file and SIGHUP at each node: nothing between nodes carries it", ""},
		{"a change of the list", "processor at a node to take it in", "us", at("list.change", servers), 0, "the watch, `balance`", ""},
		{"a change of the list", "bytes out of the service, at once", "bytes", change.times(nodes), 0, "each node watches the service itself", ""},
		{"600 restarts in ten minutes", "processor at every other node for their clients", "% of a core", arrive.times(600.0 / 600 * each / nodes * us), 0, "placement among all servers; set-up", ""},
		{"a machine fails (18 a day)", "its clients at others of its zone: processor of each", "s of a core", arrive.times(moved(1, nodes/zones-1) * 1e-6), changeWithin, "placement among all servers; set-up", ""},
		{"a rack fails (40 nodes)", "its clients at others of its region: processor of each", "s of a core", arrive.times(moved(rack, nodes/regions-rack) * 1e-6), changeWithin, "placement among all servers; set-up", ""},
		{"a zone lost (335 nodes)", "its clients at others of its region: processor of each", "s of a core", arrive.times(moved(nodes/zones, nodes/regions-nodes/zones) * 1e-6), changeWithin, "placement among all servers; set-up", ""},
		{"a zone lost (335 nodes)", "connections at each of these then: memory (service)", "bytes", held.times(each + moved(nodes/zones, nodes/regions-nodes/zones)), 0, "two sockets and an exchange each", ""},
		{"a zone comes back", "calls for the whole list, 20 a second: time of the service", "s", exactly(nodes / zones / calls), changeWithin, "each node asks the service itself", ""},
		{"a fleet starts while six in ten servers are replaced", "words that the busiest node sends", "1/s", at("words.busiest", nodes), 0, "hellos until one keeper is found, asks at each need, one keeper's answers", ""},
		{"a fleet starts while six in ten servers are replaced", "words that a node sends in the mean", "1/s", at("words.mean", nodes), 0, "hellos until one keeper is found, asks at each need", ""},
		{"all nodes cold", "a node that has an old list asks first after, at most", "s", at("pause.start", nodes), changeWithin, "a spread in proportion to the nodes", ""},
		{"all nodes cold", "calls for the whole list, 20 a second: time of the service", "s", exactly(nodes / calls), changeWithin, "each node asks the service itself", ""},
		{"all nodes cold", "bytes of these", "bytes", listSize.times(nodes), 0, "each node asks the service itself", ""},
		{"all nodes cold", "a node reads it and takes it in", "us", at("list.whole", servers), 0, "`balance`", ""},
		{"all nodes cold", "each places 45,600 clients: processor", "s of a core", arrive.times(each * 1e-6), changeWithin, "placement among all servers; set-up", ""},
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("not measured: %s", strings.Join(missing, ", "))
	}
	return figures, nil
}

// perConnection is what was measured of many connections, for one of them: by the slope.
func perConnection(at func(string, float64) amount, name string, n float64) amount {
	high, low := at(name, n), at(name, 500)
	return amount{(high.y - low.y) / (n - 500), (high.low - low.high) / (n - 500), (high.high - low.low) / (n - 500), high.from, high.form, false}
}

// TableNames are those of the page's tables, in its order.
var TableNames = []string{"assumptions", "slopes", "roles", "events", "after", "lacks"}

// Fill puts tables into a page, each between its marks.
func Fill(page string, tables map[string]string) (string, error) {
	for _, name := range TableNames {
		begin, end := "<!-- "+name+" -->\n", "<!-- end of "+name+" -->"
		from, to := strings.Index(page, begin), strings.Index(page, end)
		if from < 0 || to < from {
			return "", fmt.Errorf("there is no place for the table %s, which begins with %q and ends with %q", name, strings.TrimSpace(begin), end)
		}
		page = page[:from+len(begin)] + "\n" + tables[name] + "\n" + page[to:]
	}
	return page, nil
}

// Tables are those of the page, by the name under which the page has each. after is what a later program was measured to cost.
func Tables(r, after *Results) (map[string]string, error) {
	figures, err := Extrapolate(r)
	if err != nil {
		return nil, err
	}
	tables := map[string]string{"after": ComparisonTable(r, after)}
	var t strings.Builder
	row := func(cells ...string) { t.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	done := func(name string) { tables[name] = t.String(); t.Reset() }

	row("what", "value", "from")
	row("---", "---", "---")
	for _, a := range Assumptions() {
		row(a.Name, strings.TrimSpace(number(a.Value)+" "+a.Unit), a.Source)
	}
	done("assumptions")

	row("slope", "what", "measured (median)", "line: slope ± 95%", "intercept", "spread", "exponent ± 95%", "form")
	row("---", "---", "---", "---", "---", "---", "---", "---")
	for _, s := range r.Measurements {
		var at []string
		for _, n := range s.Sizes() {
			at = append(at, number(n)+": "+number(s.Median(n)))
		}
		sizes := s.Sizes()
		greatest := sizes[len(sizes)-1]
		seen := func(v, n float64) string { // what rounding has left of nothing is nothing
			if math.Abs(v*n) < 1e-9*s.Median(greatest) {
				return "0"
			}
			return number(v)
		}
		row("`"+s.Name+"`", s.Description+", "+cmp.Or(s.Unit, "number")+" by "+s.SizeOf, strings.Join(at, "; "), seen(s.Fit.Slope, greatest)+" ± "+seen(s.Fit.SlopeMargin, greatest), seen(s.Fit.Intercept, 1),
			percent(s.Fit.ResidualDeviation), fmt.Sprintf("%.2f ± %.2f", s.Fit.Exponent, s.Fit.ExponentMargin), string(s.Fit.Verdict))
	}
	done("slopes")

	for name, in := range map[string]func(Figure) bool{
		"roles":  func(f Figure) bool { return strings.Contains(f.Role, "ordinary day") },
		"events": func(f Figure) bool { return !strings.Contains(f.Role, "ordinary day") },
	} {
		head := []string{"where", "what", "measured", "calculated (interval)", "from", "limit", "factor", "carried by"}
		if name == "roles" {
			head = append(head, "changed by control machines (design)")
		}
		row(head...)
		row(slices.Repeat([]string{"---"}, len(head))...)
		for _, f := range figures {
			if !in(f) {
				continue
			}
			read, worked := "", with(f.y, f.Unit)
			if f.low != f.high {
				worked += " (" + with(f.low, f.Unit) + " to " + with(f.high, f.Unit) + ")"
			}
			if f.read {
				read, worked = worked, ""
			}
			limit, factor := "", ""
			if f.Limit > 0 {
				limit, factor = with(f.Limit, f.Unit), factorText(f.LimitRatio())
			}
			from := "assumptions alone"
			if len(f.from) > 0 {
				from = "`" + strings.Join(f.from, "`, `") + "`"
			}
			if f.form == scaling.Superlinear {
				from += " (faster than a line)"
			}
			cells := []string{f.Role, f.Name, read, worked, from, limit, factor, f.Mechanism}
			if name == "roles" {
				cells = append(cells, cmp.Or(f.ControlNodeEffect, "no"))
			}
			row(cells...)
		}
		done(name)
	}

	row("lack", "where", "what", "carried by today")
	row("---", "---", "---", "---")
	lacks := slices.DeleteFunc(slices.Clone(figures), func(f Figure) bool { return f.LimitRatio() <= 1 })
	slices.SortStableFunc(lacks, func(x, y Figure) int { return cmp.Compare(y.LimitRatio(), x.LimitRatio()) })
	for _, f := range lacks {
		row(fmt.Sprintf("%s times", number(f.LimitRatio())), f.Role, f.Name, f.Mechanism)
	}
	done("lacks")
	return tables, nil
}

// ComparisonTable returns a table that compares the measurements of two versions of the program: the medians of both
// by size, and the ratio of the later to the earlier one at the largest size that both have.
func ComparisonTable(before, after *Results) string {
	var t strings.Builder
	fmt.Fprintln(&t, "| slope | what | before | after | at the greatest size |\n| --- | --- | --- | --- | --- |")
	for _, s := range after.Measurements {
		at := func(s *Measurement) string {
			if s == nil {
				return "not measured"
			}
			var at []string
			for _, n := range s.Sizes() {
				at = append(at, number(n)+": "+number(s.Median(n)))
			}
			return strings.Join(at, "; ") + " (" + string(s.Fit.Verdict) + ")"
		}
		was, times := before.Measurement(s.Name), ""
		if was != nil {
			for _, n := range s.Sizes() {
				if slices.Contains(was.Sizes(), n) && was.Median(n) > 0 {
					times = "times " + number(s.Median(n)/was.Median(n))
				}
			}
		}
		fmt.Fprintf(&t, "| `%s` | %s, %s by %s | %s | %s | %s |\n", s.Name, s.Description, cmp.Or(s.Unit, "number"), s.SizeOf, at(was), at(s), times)
	}
	return t.String()
}

func factorText(lack float64) string {
	if lack > 1 {
		return "**lack " + number(lack) + "**"
	}
	return "room " + number(1/lack)
}

func percent(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) }

// with writes a figure with its unit, in one that is read with ease.
func with(v float64, unit string) string {
	switch abs := math.Abs(v); {
	case unit == "bytes" && abs >= 1e9:
		return number(v/1e9) + " GB"
	case unit == "bytes" && abs >= 1e6:
		return number(v/1e6) + " MB"
	case unit == "bytes" && abs >= 1e4:
		return number(v/1e3) + " KB"
	case unit == "bytes/s" && abs >= 1e6:
		return number(v/1e6) + " MB/s"
	case unit == "bytes/s" && abs >= 1e3:
		return number(v/1e3) + " KB/s"
	case unit == "us" && abs >= 1e4:
		return number(v/1e3) + " ms"
	}
	return strings.TrimSpace(number(v) + " " + unit)
}

// number writes three figures of a number, and no more.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := int(math.Floor(math.Log10(math.Abs(v)))) + 1
	if v == math.Trunc(v) && digits <= 7 {
		return grouped(fmt.Sprintf("%.0f", v))
	}
	if digits >= 3 {
		unit := math.Pow(10, float64(digits-3))
		return grouped(fmt.Sprintf("%.0f", math.Round(v/unit)*unit))
	}
	if digits < -3 {
		return fmt.Sprintf("%.1e", v)
	}
	return fmt.Sprintf("%.*f", 3-max(digits, 1)+max(1-digits, 0), v)
}

func grouped(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
