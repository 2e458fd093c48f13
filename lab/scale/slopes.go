package scale

import (
	"maps"
	"slices"

	"brassmux/lab/scaling"
)

// Slope tells how a figure of a role grows with the nodes.
type Slope struct {
	Role   string `json:"role"`
	Figure string `json:"what"`
	scaling.Model
}

// slopes fits what each role used and met over the sizes. Under four sizes there are none.
func (r *Result) slopes() (all []Slope) {
	if len(r.Fleets) < 4 {
		return nil
	}
	add := func(role, what string, value func(f *Fleet) float64) {
		var points []scaling.Point
		for _, f := range r.Fleets {
			points = append(points, scaling.Point{Size: float64(f.Nodes), Value: value(f)})
		}
		if fit, err := scaling.FitModel(points); err == nil {
			all = append(all, Slope{role, what, fit})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.Fleets[0].Roles)) {
		of := func(what string, value func(Role) float64) {
			add(name, what, func(f *Fleet) float64 { return value(f.Roles[name]) })
		}
		of("cores", func(r Role) float64 { return r.CPU })
		of("resident MB", func(r Role) float64 { return r.ResidentMB })
		of("descriptors", func(r Role) float64 { return r.Descriptors })
		if name != "list" {
			of("words in", func(r Role) float64 { return r.In.Messages })
			of("bytes in", func(r Role) float64 { return r.In.Bytes })
			of("bytes out", func(r Role) float64 { return r.Out.Bytes })
		}
	}
	add("all", "change in force at 99%: s", func(f *Fleet) float64 { return f.Changes.P99 })
	add("all", "change in force at all: s", func(f *Fleet) float64 { return f.Changes.Max })
	return all
}
