package capacity

import (
	"fmt"
	"math"
	"strings"
)

// factorText returns the cell for the ratio of a cost to its limit.
func factorText(ratio float64) string {
	if ratio > 1 {
		return "**lack " + formatNumber(ratio) + "**"
	}
	return "room " + formatNumber(1/ratio)
}

// percent formats a fraction as a percentage.
func percent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }

// formatWithUnit formats a value in a unit of suitable magnitude.
func formatWithUnit(value float64, unit string) string {
	switch abs := math.Abs(value); {
	case unit == "bytes" && abs >= 1e9:
		return formatNumber(value/1e9) + " GB"
	case unit == "bytes" && abs >= 1e6:
		return formatNumber(value/1e6) + " MB"
	case unit == "bytes" && abs >= 1e4:
		return formatNumber(value/1e3) + " KB"
	case unit == "bytes/s" && abs >= 1e6:
		return formatNumber(value/1e6) + " MB/s"
	case unit == "bytes/s" && abs >= 1e3:
		return formatNumber(value/1e3) + " KB/s"
	case unit == "us" && abs >= 1e4:
		return formatNumber(value/1e3) + " ms"
	}
	return strings.TrimSpace(formatNumber(value) + " " + unit)
}

// formatNumber formats a value with three significant digits, or in full if it is a whole number of up to seven digits.
func formatNumber(value float64) string {
	if value == 0 {
		return "0"
	}
	digits := int(math.Floor(math.Log10(math.Abs(value)))) + 1
	if value == math.Trunc(value) && digits <= 7 {
		return groupThousands(fmt.Sprintf("%.0f", value))
	}
	if digits >= 3 {
		scale := math.Pow(10, float64(digits-3))
		return groupThousands(fmt.Sprintf("%.0f", math.Round(value/scale)*scale))
	}
	if digits < -3 {
		return fmt.Sprintf("%.1e", value)
	}
	return fmt.Sprintf("%.*f", 3-max(digits, 1)+max(1-digits, 0), value)
}

// groupThousands inserts commas between groups of three digits.
func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
