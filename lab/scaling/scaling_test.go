package scaling

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"testing"
)

var sizes = []float64{300, 1000, 3000, 5700}

// noisyPoints returns five measurements at each size with normally distributed noise of a relative deviation.
func noisyPoints(seed uint64, deviation float64, growth func(float64) float64) (points []Point) {
	random := rand.New(rand.NewPCG(seed, 1))
	for _, size := range sizes {
		for range 5 {
			points = append(points, Point{size, growth(size) * (1 + deviation*random.NormFloat64())})
		}
	}
	return points
}

// Guards against a wrong class of growth for noisy measurements, in particular with a large or negative intercept.
func TestFitModelClassifiesGrowth(t *testing.T) {
	for _, testCase := range []struct {
		name     string
		growth   func(float64) float64
		verdict  Verdict
		exponent float64 // 0 if not checked
	}{
		{"constant", func(float64) float64 { return 60 }, Constant, 0},
		{"line through 0", func(n float64) float64 { return 0.2 * n }, Linear, 1},
		{"line with a large intercept", func(n float64) float64 { return 900 + 0.5*n }, Linear, 0},
		{"line with a negative intercept", func(n float64) float64 { return -40 + 0.2*n }, Linear, 0},
		{"square", func(n float64) float64 { return 1e-4 * n * n }, Superlinear, 2},
		{
			"square with a line and a large intercept",
			func(n float64) float64 { return 500 + 0.1*n + 6e-5*n*n }, Superlinear, 0,
		},
		{"power 1.4", func(n float64) float64 { return 0.02 * math.Pow(n, 1.4) }, Superlinear, 1.4},
		{"root", func(n float64) float64 { return 3 * math.Sqrt(n) }, Sublinear, 0.5},
	} {
		for seed := range uint64(20) {
			model, err := FitModel(noisyPoints(seed, 0.02, testCase.growth))
			if err != nil {
				t.Fatal(testCase.name, err)
			}
			if model.Verdict != testCase.verdict {
				t.Errorf("%s, seed %d: got %s, want %s: %+v",
					testCase.name, seed, model.Verdict, testCase.verdict, model)
			}
			if testCase.exponent != 0 && math.Abs(model.Exponent-testCase.exponent) > 0.03 {
				t.Errorf("%s, seed %d: got exponent %.3f, want %.1f",
					testCase.name, seed, model.Exponent, testCase.exponent)
			}
		}
	}
}

// Linear growth must yield its slope and intercept exactly without noise. With noise, the slope must be within its
// margin in about 95% of the fits.
func TestFitModelRecoversLinearGrowth(t *testing.T) {
	growth := func(n float64) float64 { return 30 + 0.25*n }
	model, err := FitModel(noisyPoints(1, 0, growth))
	if err != nil || math.Abs(model.Slope-0.25) > 1e-9 || math.Abs(model.Intercept-30) > 1e-6 ||
		model.RSquared < 1-1e-9 || model.ResidualDeviation > 1e-9 {
		t.Errorf("without noise: %+v, %v", model, err)
	}
	misses := 0
	for seed := range uint64(400) {
		model, err := FitModel(noisyPoints(seed, 0.05, growth))
		if err != nil {
			t.Fatal(err)
		}
		if math.Abs(model.Slope-0.25) > model.SlopeMargin {
			misses++
		}
		if model.ResidualDeviation < 0.02 || model.ResidualDeviation > 0.1 {
			t.Errorf("seed %d: residual deviation %.3f with a noise of 0.05", seed, model.ResidualDeviation)
		}
	}
	if misses < 4 || misses > 45 { // 20 are expected
		t.Errorf("slope outside its 95%% interval in %d of 400 fits", misses)
	}
}

// A measurement at a greater size must lie in the predicted 95% interval in about 19 of 20 cases, for linear and
// quadratic growth. The width of the interval is bounded too, because a very wide one would always contain the
// measurement.
func TestPredictionIntervals(t *testing.T) {
	for name, growth := range map[string]func(float64) float64{
		"line":   func(n float64) float64 { return 30 + 0.25*n },
		"square": func(n float64) float64 { return 30 + 1e-4*n*n },
	} {
		t.Run(name, func(t *testing.T) { checkPredictions(t, growth) })
	}
}

// checkPredictions compares predictions at size 8000 with a new measurement for 400 seeds.
func checkPredictions(t *testing.T, growth func(float64) float64) {
	random, misses := rand.New(rand.NewPCG(7, 7)), 0
	for seed := range uint64(400) {
		model, err := FitModel(noisyPoints(seed, 0.05, growth))
		if err != nil {
			t.Fatal(err)
		}
		value, low, high := model.Predict(8000)
		if next := growth(8000) * (1 + 0.05*random.NormFloat64()); next < low || next > high {
			misses++
		}
		if low > value || value > high || high-low > value {
			t.Errorf("seed %d: predicted %g, interval %g to %g", seed, value, low, high)
		}
	}
	if misses > 45 {
		t.Errorf("measurement outside its predicted interval in %d of 400 cases", misses)
	}
}

// Too few points, and sizes or values that cannot be measurements, must be rejected.
func TestFitModelRejectsInvalidPoints(t *testing.T) {
	for name, points := range map[string][]Point{
		"none":         nil,
		"two sizes":    {{1, 1}, {1, 2}, {2, 2}, {2, 3}},
		"three points": {{1, 1}, {2, 2}, {3, 3}},
		"size 0":       {{0, 1}, {1, 2}, {2, 2}, {3, 3}},
		"negative":     {{1, -1}, {1, 2}, {2, 2}, {3, 3}},
		"NaN":          {{1, math.NaN()}, {1, 2}, {2, 2}, {3, 3}},
		"infinite":     {{1, math.Inf(1)}, {1, 2}, {2, 2}, {3, 3}},
	} {
		if _, err := FitModel(points); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

// Guards against models with NaN or infinite fields, which JSON cannot encode, for values of 0 and equal values.
func TestModelOfZeroAndEqualValues(t *testing.T) {
	for name, points := range map[string][]Point{
		"all 0":  {{1, 0}, {2, 0}, {3, 0}, {4, 0}},
		"equal":  {{3, 157}, {17, 157}, {40, 157}, {200, 157}, {200, 157}},
		"some 0": {{1, 0}, {2, 1}, {3, 2}, {4, 3}, {5, 4.1}},
	} {
		model, err := FitModel(points)
		if err != nil {
			t.Fatal(name, err)
		}
		if _, err := json.Marshal(model); err != nil {
			t.Error(name, err)
		}
		if value, low, high := model.Predict(4); value < low || value > high || math.IsNaN(value) {
			t.Error(name, value, low, high)
		}
	}
}
