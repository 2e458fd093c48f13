package fleet

import (
	"cmp"
	"math"
	"slices"
)

// Comparison is the difference between the results of two builds for one scenario.
type Comparison struct {
	Scenario                  string
	Seeds                     int     // number of seeds that both builds ran
	MedianBefore, MedianAfter float64 // of Result.Served
	MedianChange              float64 // median of the differences of Result.Served, by seed
	Noise                     float64 // largest change that is attributed to chance
}

// WithinNoise reports whether the change may be due to chance.
func (c Comparison) WithinNoise() bool { return math.Abs(c.MedianChange) <= c.Noise }

// minNoiseSeeds is the smallest number of differences whose standard error is meaningful.
const minNoiseSeeds = 3

// Compare pairs results by scenario and seed, ignores results without a counterpart, and returns one comparison for
// each scenario, sorted by name.
func Compare(before, after []*Result) (comparisons []Comparison) {
	type runID struct {
		scenario string
		seed     uint64
	}
	servedBefore := map[runID]float64{}
	for _, result := range before {
		servedBefore[runID{result.Scenario, result.Seed}] = result.Served
	}
	pairs := map[string][][2]float64{} // before and after, by scenario
	for _, result := range after {
		if served, ok := servedBefore[runID{result.Scenario, result.Seed}]; ok {
			pairs[result.Scenario] = append(pairs[result.Scenario], [2]float64{served, result.Served})
		}
	}
	for name, values := range pairs {
		comparisons = append(comparisons, compareScenario(name, values))
	}
	slices.SortFunc(comparisons, func(x, y Comparison) int { return cmp.Compare(x.Scenario, y.Scenario) })
	return comparisons
}

func compareScenario(name string, pairs [][2]float64) Comparison {
	var before, after, differences []float64
	for _, pair := range pairs {
		before, after = append(before, pair[0]), append(after, pair[1])
		differences = append(differences, pair[1]-pair[0])
	}
	return Comparison{
		Scenario:     name,
		Seeds:        len(pairs),
		MedianBefore: Median(before),
		MedianAfter:  Median(after),
		MedianChange: Median(differences),
		Noise:        noise(differences),
	}
}

// noise returns twice the standard error of the mean, or infinity for fewer than minNoiseSeeds values.
func noise(values []float64) float64 {
	if len(values) < minNoiseSeeds {
		return math.Inf(1)
	}
	count, squares := float64(len(values)), 0.0
	mean := sum(values) / count
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	return 2 * math.Sqrt(squares/(count-1)/count)
}

// Median returns the middle value, or the mean of the two middle values if their number is even. It sorts the slice,
// which must not be empty.
func Median(values []float64) float64 {
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 0 {
		return (values[middle-1] + values[middle]) / 2
	}
	return values[middle]
}
