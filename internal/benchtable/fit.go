package main

import (
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"

	"github.com/go-faster/errors"
	"golang.org/x/perf/benchfmt"
)

// point is one measurement of a benchmark: x is the size, y the metric.
type point struct{ x, y float64 }

// line is the least-squares line y = base + slope*x through a set of points.
type line struct {
	base, slope   float64
	rmsResidual   float64 // root mean square of the residuals, in the unit of y
	worstResidual float64 // greatest residual as a fraction of the measured value
}

// fitLine returns the least-squares line through ps. It fails if all points have
// the same size.
func fitLine(ps []point) (line, error) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range ps {
		n, sx, sy, sxx, sxy = n+1, sx+p.x, sy+p.y, sxx+p.x*p.x, sxy+p.x*p.y
	}
	determinant := n*sxx - sx*sx
	if determinant == 0 {
		return line{}, errors.New("a fit needs measurements at two sizes or more")
	}
	l := line{slope: (n*sxy - sx*sy) / determinant}
	l.base = (sy - l.slope*sx) / n
	for _, p := range ps {
		r := p.y - l.base - l.slope*p.x
		l.rmsResidual += r * r / n
		if p.y != 0 {
			l.worstResidual = max(l.worstResidual, math.Abs(r/p.y))
		}
	}
	l.rmsResidual = math.Sqrt(l.rmsResidual)
	return l, nil
}

// sizeSuffix matches the size in a benchmark name that ends in "key=size" or
// "key=size/variant".
var sizeSuffix = regexp.MustCompile(`=(\d+)(?:/[^/]*)?$`)

// points reads the output of go test -bench and returns the metric unit of every
// run whose whole benchmark name matches the regular expression bench and ends in
// a size, see sizeSuffix.
func points(r io.Reader, bench, unit string) (ps []point, err error) {
	rd := benchfmt.NewReader(r, "go test")
	namePattern, err := regexp.Compile("^" + bench + "$")
	if err != nil {
		return nil, errors.Wrap(err, "parse the benchmark name pattern")
	}
	for rd.Scan() {
		res, ok := rd.Result().(*benchfmt.Result)
		if !ok || !namePattern.MatchString(benchmarkName(res)) {
			continue
		}
		size := sizeSuffix.FindStringSubmatch(benchmarkName(res))
		y, ok := res.Value(unit)
		if size == nil || !ok {
			continue
		}
		x, err := strconv.ParseFloat(size[1], 64)
		if err != nil {
			return nil, errors.Wrap(err, "parse the size in a benchmark name")
		}
		ps = append(ps, point{x, y})
	}
	if err := rd.Err(); err != nil {
		return nil, errors.Wrap(err, "read benchmark results")
	}
	return ps, nil
}

// printFit reads the output of go test -bench from r, fits a line through the
// metric unit of the benchmarks that match bench, and prints the line to w.
func printFit(w io.Writer, r io.Reader, bench, unit string) error {
	ps, err := points(r, bench, unit)
	if err != nil {
		return err
	}
	l, err := fitLine(ps)
	if err != nil {
		return errors.Wrapf(err, "%s %s", bench, unit)
	}
	_, err = fmt.Fprintf(w, "%s %s: %.4g + %.4g per unit, %d points, rms residual %.3g, worst %.1f %%\n",
		bench, unit, l.base, l.slope, len(ps), l.rmsResidual, 100*l.worstResidual)
	return err
}
