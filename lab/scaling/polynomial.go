package scaling

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/distuv"
)

// polynomial is a polynomial that was fitted by weighted least squares.
type polynomial struct {
	coefficients []float64  // by power of x
	covariance   *mat.Dense // covariance of the coefficients, divided by the square of the deviation
	deviation    float64    // standard deviation of a point of weight 1
	quantile     float64    // quantile of Student's t-distribution for the degrees of freedom
}

// fitPolynomial fits a polynomial of a degree to the points (x, y) with the given weights.
func fitPolynomial(x, y, weights []float64, degree int) (polynomial, error) {
	design, observed := mat.NewDense(len(x), degree+1, nil), mat.NewVecDense(len(x), nil)
	for i := range x {
		root := math.Sqrt(weights[i])
		for power := range degree + 1 {
			design.Set(i, power, root*math.Pow(x[i], float64(power)))
		}
		observed.SetVec(i, root*y[i])
	}
	var coefficients, residual mat.VecDense
	var normal, inverse mat.Dense
	normal.Mul(design.T(), design)
	if err := inverse.Inverse(&normal); err != nil {
		return polynomial{}, fmt.Errorf("the sizes are too close together: %w", err)
	}
	if err := coefficients.SolveVec(design, observed); err != nil {
		return polynomial{}, fmt.Errorf("the sizes are too close together: %w", err)
	}
	residual.MulVec(design, &coefficients)
	residual.SubVec(observed, &residual)
	p := polynomial{coefficients: coefficients.RawVector().Data, covariance: &inverse, quantile: math.Inf(1)}
	if degreesOfFreedom := len(x) - degree - 1; degreesOfFreedom > 0 {
		p.deviation = mat.Norm(&residual, 2) / math.Sqrt(float64(degreesOfFreedom))
		student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(degreesOfFreedom)}
		p.quantile = student.Quantile(confidenceQuantile)
	}
	return p, nil
}

func (p polynomial) evaluate(x float64) (y float64) {
	for power, coefficient := range p.coefficients {
		y += coefficient * math.Pow(x, float64(power))
	}
	return y
}

// coefficientMargin returns half of the width of the 95% interval of a coefficient.
func (p polynomial) coefficientMargin(power int) float64 {
	return p.quantile * p.deviation * math.Sqrt(p.covariance.At(power, power))
}

// predictionMargin returns half of the width of the 95% interval of a new point at x. The error of the point is taken
// to be proportional to its value.
func (p polynomial) predictionMargin(x float64) float64 {
	powers := mat.NewVecDense(len(p.coefficients), nil)
	for power := range p.coefficients {
		powers.SetVec(power, math.Pow(x, float64(power)))
	}
	y := p.evaluate(x)
	return p.quantile * p.deviation * math.Sqrt(y*y+mat.Inner(powers, p.covariance, powers))
}
