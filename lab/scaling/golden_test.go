package scaling

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
)

// Guards against changes of the result format and the fits: for each class of growth, the keys and values of the JSON
// form and the predictions must match a recorded file.
func TestFitModelMatchesGoldenFile(t *testing.T) {
	var output strings.Builder
	for i, growth := range []func(float64) float64{
		func(float64) float64 { return 60 },
		func(n float64) float64 { return 30 + 0.25*n },
		func(n float64) float64 { return 30 + 1e-4*n*n },
		func(n float64) float64 { return 3 * math.Sqrt(n) },
		func(float64) float64 { return 0 },
	} {
		model, err := FitModel(noisyPoints(uint64(i), 0.02, growth))
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(model)
		if err != nil {
			t.Fatal(err)
		}
		var values map[string]any
		if err := json.Unmarshal(data, &values); err != nil {
			t.Fatal(err)
		}
		for _, key := range slices.Sorted(maps.Keys(values)) {
			if number, ok := values[key].(float64); ok {
				fmt.Fprintf(&output, "%s=%.6g ", key, number)
			} else {
				fmt.Fprintf(&output, "%s=%v ", key, values[key])
			}
		}
		value, low, high := model.Predict(8000)
		fmt.Fprintf(&output, "at 8000: %.6g %.6g %.6g\n", value, low, high)
	}
	for _, points := range [][]Point{
		{{0, 1}}, {{1, 1}, {2, 2}}, {{1e9, 1}, {1e9 + 1e-6, 1}, {1e9 + 2e-6, 1}, {1e9, 2}},
	} {
		_, err := FitModel(points)
		fmt.Fprintln(&output, err)
	}
	data, err := json.Marshal(Point{2, 3})
	fmt.Fprintln(&output, string(data), err)
	want, err := os.ReadFile("testdata/golden.txt")
	if err != nil || output.String() != string(want) {
		t.Errorf("%v, got:\n%s", err, &output)
	}
}
