// Package scaling models the growth of a measured quantity with a size. It fits a linear and a quadratic model by
// weighted least squares and the exponent of a power law, classifies the growth, and predicts values with their
// intervals at other sizes. It is independent of the measured quantity and the method of measurement.
package scaling

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is a single measurement.
type Point struct {
	Size  float64 `json:"n"` // greater than 0
	Value float64 `json:"y"` // 0 or more
}

// Verdict is the class of growth.
type Verdict string

// Classes of growth. Their values are part of the format of stored results.
const (
	Constant     Verdict = "flat"               // the medians at the sizes differ by a fraction of at most minEffect
	Linear       Verdict = "line"               // proportional to the size, apart from an intercept
	Superlinear  Verdict = "faster than a line" // the quadratic term adds at least minEffect at the maximum size
	Sublinear    Verdict = "slower than a line" // the quadratic term subtracts at least as much
	Inconclusive Verdict = "unclear"            // a slope of 0 is within the margin of error
)

const (
	minEffect          = 0.1   // smaller fractions of a value count neither as growth nor as curvature
	confidenceQuantile = 0.975 // of two-sided 95% intervals
	minPoints          = 4
	minSizes           = 3
	minMedianRatio     = 1e-3 // ratio to the maximum median; bounds the weight of values close to 0
)

// Model describes the growth in a set of points. Errors are assumed to be proportional to the value, so that all sizes
// have the same influence. Margins are half of the width of the 95% interval.
type Model struct {
	Slope             float64 `json:"slope"` // slope of the linear model, per unit of size
	SlopeMargin       float64 `json:"slope_spread"`
	Intercept         float64 `json:"intercept"` // of the linear model
	ResidualDeviation float64 `json:"spread"`    // standard deviation from the linear model, as a fraction of the value
	RSquared          float64 `json:"r2"`        // fraction of the weighted variance explained by the linear model

	Exponent       float64 `json:"exponent"` // exponent of the power law; 0 if a value is 0
	ExponentMargin float64 `json:"exponent_spread"`

	// Curvature is the share of the quadratic term in the quadratic model's value at the maximum size. It is negative
	// if growth slows down.
	Curvature float64 `json:"bend"`

	Verdict Verdict `json:"verdict"`

	maxSize   float64 // unit of the polynomials' argument
	linear    polynomial
	quadratic polynomial
}

// sample is a set of points with the statistics that the models are fitted with.
type sample struct {
	points               []Point
	bySize               map[float64][]float64 // values by size
	minMedian, maxMedian float64               // of the medians by size
	maxSize              float64
}

// FitModel fits the models to at least four points at three or more sizes. It returns an error for fewer points or
// sizes, for a size that is not greater than 0, for a negative, infinite or NaN value, and for sizes too close to be
// distinguished.
func FitModel(points []Point) (Model, error) {
	sample, err := newSample(points)
	if err != nil {
		return Model{}, err
	}
	if sample.maxMedian == 0 {
		return Model{Verdict: Constant, RSquared: 1, maxSize: sample.maxSize}, nil
	}
	model := Model{maxSize: sample.maxSize}
	if err := model.fitPolynomials(sample); err != nil {
		return Model{}, err
	}
	if err := model.fitPowerLaw(points); err != nil {
		return Model{}, err
	}
	model.Verdict = model.classify(sample)
	return model, nil
}

// newSample validates the points and returns them as a sample.
func newSample(points []Point) (*sample, error) {
	result := &sample{points: points, bySize: map[float64][]float64{}, minMedian: math.Inf(1)}
	for _, point := range points {
		if !(point.Size > 0) || !(point.Value >= 0) || math.IsInf(point.Size, 0) || math.IsInf(point.Value, 0) {
			return nil, fmt.Errorf("no measurement: %g at size %g", point.Value, point.Size)
		}
		result.bySize[point.Size] = append(result.bySize[point.Size], point.Value)
	}
	if len(result.bySize) < minSizes || len(points) < minPoints {
		return nil, fmt.Errorf("%d points at %d sizes: a fit wants %d at %d",
			len(points), len(result.bySize), minPoints, minSizes)
	}
	for size, values := range result.bySize {
		median := Median(values)
		result.minMedian, result.maxMedian = min(result.minMedian, median), max(result.maxMedian, median)
		result.maxSize = max(result.maxSize, size)
	}
	return result, nil
}

// fitPolynomials fits the linear and the quadratic model. Sizes are divided by the maximum size, so that their powers
// are of the same magnitude.
func (m *Model) fitPolynomials(sample *sample) (err error) {
	var x, y, weights []float64
	for _, point := range sample.points {
		x, y = append(x, point.Size/sample.maxSize), append(y, point.Value)
		expected := max(Median(sample.bySize[point.Size]), sample.maxMedian*minMedianRatio)
		weights = append(weights, 1/(expected*expected))
	}
	if m.linear, err = fitPolynomial(x, y, weights, 1); err != nil {
		return err
	}
	if m.quadratic, err = fitPolynomial(x, y, weights, 2); err != nil {
		return err
	}
	coefficients := m.linear.coefficients
	m.Intercept, m.Slope = coefficients[0], coefficients[1]/sample.maxSize
	m.SlopeMargin = m.linear.coefficientMargin(1) / sample.maxSize
	m.ResidualDeviation = m.linear.deviation
	m.RSquared = min(stat.RSquared(x, y, weights, coefficients[0], coefficients[1]), 1)
	if !(m.RSquared >= 0) { // equal values have no variance apart from rounding errors
		m.RSquared = 0
	}
	m.Curvature = m.quadratic.coefficients[2] / m.quadratic.evaluate(1)
	return nil
}

// fitPowerLaw fits the exponent to the logarithms of the points. It does nothing if a value is 0, which has no
// logarithm.
func (m *Model) fitPowerLaw(points []Point) error {
	var logX, logY []float64
	for _, point := range points {
		if point.Value <= 0 {
			return nil
		}
		logX, logY = append(logX, math.Log(point.Size)), append(logY, math.Log(point.Value))
	}
	power, err := fitPolynomial(logX, logY, slices.Repeat([]float64{1}, len(logX)), 1)
	if err != nil {
		return err
	}
	m.Exponent, m.ExponentMargin = power.coefficients[1], power.coefficientMargin(1)
	return nil
}

// classify returns the class of growth according to the fitted models.
func (m *Model) classify(sample *sample) Verdict {
	quadraticTerm, margin := m.quadratic.coefficients[2], m.quadratic.coefficientMargin(2)
	switch {
	case sample.maxMedian <= sample.minMedian*(1+minEffect):
		return Constant
	case m.Curvature >= minEffect && quadraticTerm > margin:
		return Superlinear
	case math.Abs(m.Slope) <= m.SlopeMargin:
		return Inconclusive
	case m.Curvature <= -minEffect && -quadraticTerm > margin:
		return Sublinear
	default:
		return Linear
	}
}

// Predict returns the expected value of a measurement at a size and its 95% interval. It uses the quadratic model if
// growth is superlinear and the linear model otherwise. A prediction beyond the measured sizes assumes that the class
// of growth does not change there.
func (m Model) Predict(size float64) (value, low, high float64) {
	fitted := m.linear
	if m.Verdict == Superlinear {
		fitted = m.quadratic
	}
	if fitted.coefficients == nil {
		return 0, 0, 0
	}
	x := size / m.maxSize
	value = fitted.evaluate(x)
	margin := fitted.predictionMargin(x)
	return value, max(value-margin, 0), value + margin
}

// Median returns the median of the values, of which there must be at least one. It is the mean of the middle two if
// their number is even.
func Median(values []float64) float64 {
	sorted := slices.SortedFunc(slices.Values(values), cmp.Compare[float64])
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}
