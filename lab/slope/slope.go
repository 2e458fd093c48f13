// Package slope tells how what was measured grows with a size: a line through repeated measurements, the exponent of a power
// law, whether it is a line at all, and what to expect at another size.
package slope

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Point is one measurement.
type Point struct {
	N float64 `json:"n"` // the size, over 0
	Y float64 `json:"y"` // what was measured there, not negative
}

// Verdict is the form of growth.
type Verdict string

const (
	Flat    Verdict = "flat"               // the sizes' medians differ by a tenth at most
	Line    Verdict = "line"               //
	Faster  Verdict = "faster than a line" // the square of the size carries a tenth of the greatest value or more
	Slower  Verdict = "slower than a line"
	Unclear Verdict = "unclear" // it is within the spread that nothing grows at all
)

const (
	material = 0.1   // a part under it is not told as growth or as a bend
	sure     = 0.975 // each interval is of 95%
)

// Fit is what the points show. Errors are taken to be in proportion to the value, so each size counts alike.
type Fit struct {
	Slope       float64 `json:"slope"` // of the line, per unit of size
	SlopeSpread float64 `json:"slope_spread"`
	Intercept   float64 `json:"intercept"`
	Spread      float64 `json:"spread"` // standard deviation of the points about the line, as a part of the value
	R2          float64 `json:"r2"`     // part of the weighted variance that the line explains

	Exponent       float64 `json:"exponent"` // of the power law through all points; 0 where some value is 0
	ExponentSpread float64 `json:"exponent_spread"`
	Bend           float64 `json:"bend"` // part of the greatest value that the square of the size carries; negative where growth slows

	Verdict Verdict `json:"verdict"`

	scale  float64 // sizes are counted in it
	line   model
	square model
}

// Of fits points of at least three sizes, four points at least. The spreads beside slope and exponent are half of the 95% interval.
func Of(points []Point) (Fit, error) {
	bySize := map[float64][]float64{}
	for _, p := range points {
		if !(p.N > 0) || !(p.Y >= 0) || math.IsInf(p.N, 0) || math.IsInf(p.Y, 0) {
			return Fit{}, fmt.Errorf("no measurement: %g at size %g", p.Y, p.N)
		}
		bySize[p.N] = append(bySize[p.N], p.Y)
	}
	if len(bySize) < 3 || len(points) < 4 {
		return Fit{}, fmt.Errorf("%d points at %d sizes: a fit wants 4 at 3", len(points), len(bySize))
	}
	least, most, biggest := math.Inf(1), 0.0, 0.0
	for n, y := range bySize {
		m := Median(y)
		least, most, biggest = min(least, m), max(most, m), max(biggest, n)
	}
	if most == 0 {
		return Fit{Verdict: Flat, R2: 1, scale: biggest}, nil
	}
	var x, y, w, logX, logY []float64
	for _, p := range points {
		x, y = append(x, p.N/biggest), append(y, p.Y)
		at := max(Median(bySize[p.N]), most*1e-3) // so that a value of almost nothing does not count for all
		w = append(w, 1/(at*at))
		if p.Y > 0 {
			logX, logY = append(logX, math.Log(p.N)), append(logY, math.Log(p.Y))
		}
	}
	f := Fit{scale: biggest}
	var err error
	if f.line, err = fit(x, y, w, 1); err != nil {
		return Fit{}, err
	}
	if f.square, err = fit(x, y, w, 2); err != nil {
		return Fit{}, err
	}
	f.Intercept, f.Slope, f.SlopeSpread = f.line.factors[0], f.line.factors[1]/biggest, f.line.spread(1)/biggest
	f.Spread, f.R2 = f.line.error, stat.RSquared(x, y, w, f.line.factors[0], f.line.factors[1])
	if f.R2 = min(f.R2, 1); !(f.R2 >= 0) { // values that are all the same have no variance to explain: rounding is all that is left
		f.R2 = 0
	}
	if len(logY) == len(points) {
		p, err := fit(logX, logY, slices.Repeat([]float64{1}, len(logX)), 1)
		if err != nil {
			return Fit{}, err
		}
		f.Exponent, f.ExponentSpread = p.factors[1], p.spread(1)
	}
	bend := f.square.factors[2]
	f.Bend = bend / f.square.at(1)
	switch {
	case most <= least*(1+material):
		f.Verdict = Flat
	case f.Bend >= material && bend > f.square.spread(2):
		f.Verdict = Faster
	case math.Abs(f.Slope) <= f.SlopeSpread:
		f.Verdict = Unclear
	case f.Bend <= -material && -bend > f.square.spread(2):
		f.Verdict = Slower
	default:
		f.Verdict = Line
	}
	return f, nil
}

// At gives what is to be expected of one measurement at a size, with the 95% interval of it: by the line, or with the square of the
// size where growth is faster than a line. Beyond the sizes that were measured it is right only where the form goes on.
func (f Fit) At(n float64) (y, low, high float64) {
	m := f.line
	if f.Verdict == Faster {
		m = f.square
	}
	if m.factors == nil {
		return 0, 0, 0
	}
	x := n / f.scale
	y = m.at(x)
	half := m.predicts(x)
	return y, max(y-half, 0), y + half
}

// Median of values, of which there is one at least; the mean of the middle two where their number is even.
func Median(values []float64) float64 {
	v := slices.SortedFunc(slices.Values(values), cmp.Compare[float64])
	return (v[(len(v)-1)/2] + v[len(v)/2]) / 2
}

// model is a polynomial by weighted least squares.
type model struct {
	factors    []float64
	covariance *mat.Dense // of the factors, but for the square of the error
	error      float64    // standard deviation of a point of weight 1
	t          float64    // Student's, for the degrees of freedom
}

func fit(x, y, w []float64, degree int) (model, error) {
	a, b := mat.NewDense(len(x), degree+1, nil), mat.NewVecDense(len(x), nil)
	for i := range x {
		root := math.Sqrt(w[i])
		for d := range degree + 1 {
			a.Set(i, d, root*math.Pow(x[i], float64(d)))
		}
		b.SetVec(i, root*y[i])
	}
	var factors, residual mat.VecDense
	var normal, inverse mat.Dense
	normal.Mul(a.T(), a)
	if err := inverse.Inverse(&normal); err != nil {
		return model{}, fmt.Errorf("the sizes are too close together: %w", err)
	}
	if err := factors.SolveVec(a, b); err != nil {
		return model{}, fmt.Errorf("the sizes are too close together: %w", err)
	}
	residual.MulVec(a, &factors)
	residual.SubVec(b, &residual)
	m := model{factors: factors.RawVector().Data, covariance: &inverse, t: math.Inf(1)}
	if free := len(x) - degree - 1; free > 0 {
		m.error = mat.Norm(&residual, 2) / math.Sqrt(float64(free))
		m.t = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(free)}.Quantile(sure)
	}
	return m, nil
}

func (m model) at(x float64) (y float64) {
	for d, f := range m.factors {
		y += f * math.Pow(x, float64(d))
	}
	return y
}

// spread is half of the 95% interval of a factor.
func (m model) spread(d int) float64 { return m.t * m.error * math.Sqrt(m.covariance.At(d, d)) }

// predicts is half of the 95% interval of one more point, whose error is in proportion to its value.
func (m model) predicts(x float64) float64 {
	v := mat.NewVecDense(len(m.factors), nil)
	for d := range m.factors {
		v.SetVec(d, math.Pow(x, float64(d)))
	}
	y := m.at(x)
	return m.t * m.error * math.Sqrt(y*y+mat.Inner(v, m.covariance, v))
}
