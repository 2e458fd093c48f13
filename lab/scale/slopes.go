package scale

import (
	"maps"
	"slices"

	"brassmux/lab/scaling"
)

// Slope is the growth model of a figure of a role over the fleet sizes.
type Slope struct {
	Role   string `json:"role"`
	Figure string `json:"what"`
	scaling.Model
}

// slopes fits a growth model to each figure. It returns none for fewer than four sizes.
func (r *Result) slopes() (fits []Slope) {
	if len(r.Fleets) < 4 {
		return nil
	}
	add := func(role, figure string, value func(f *Fleet) float64) {
		var points []scaling.Point
		for _, f := range r.Fleets {
			points = append(points, scaling.Point{Size: float64(f.Nodes), Value: value(f)})
		}
		if model, err := scaling.FitModel(points); err == nil {
			fits = append(fits, Slope{role, figure, model})
		}
	}
	for _, role := range slices.Sorted(maps.Keys(r.Fleets[0].Roles)) {
		addForRole := func(figure string, value func(Role) float64) {
			add(role, figure, func(f *Fleet) float64 { return value(f.Roles[role]) })
		}
		addForRole("cores", func(r Role) float64 { return r.CPU })
		addForRole("resident MB", func(r Role) float64 { return r.ResidentMB })
		addForRole("descriptors", func(r Role) float64 { return r.Descriptors })
		if role != "list" {
			addForRole("words in", func(r Role) float64 { return r.In.Messages })
			addForRole("bytes in", func(r Role) float64 { return r.In.Bytes })
			addForRole("bytes out", func(r Role) float64 { return r.Out.Bytes })
		}
	}
	add("all", "change in force at 99%: s", func(f *Fleet) float64 { return f.Changes.P99 })
	add("all", "change in force at all: s", func(f *Fleet) float64 { return f.Changes.Max })
	return fits
}
