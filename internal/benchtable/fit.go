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

// point is one measurement of a benchmark at a size.
type point struct{ x, y float64 }

// line is the least-squares line y = base + slope x through points.
type line struct {
	base, slope float64
	rms         float64 // root mean square of the residuals
	worst       float64 // greatest residual as a fraction of the measured value
}

func fit(ps []point) (line, error) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range ps {
		n, sx, sy, sxx, sxy = n+1, sx+p.x, sy+p.y, sxx+p.x*p.x, sxy+p.x*p.y
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return line{}, errors.New("a fit needs measurements at two sizes or more")
	}
	l := line{slope: (n*sxy - sx*sy) / d}
	l.base = (sy - l.slope*sx) / n
	for _, p := range ps {
		r := p.y - l.base - l.slope*p.x
		l.rms += r * r / n
		if p.y != 0 {
			l.worst = max(l.worst, math.Abs(r/p.y))
		}
	}
	l.rms = math.Sqrt(l.rms)
	return l, nil
}

var sized = regexp.MustCompile(`=(\d+)(?:/[^/]*)?$`)

// points returns the metric of every run of a benchmark whose name has the form
// bench/key=size.
func points(r io.Reader, bench, unit string) (ps []point, err error) {
	rd := benchfmt.NewReader(r, "go test")
	match, err := regexp.Compile("^" + bench + "$")
	if err != nil {
		return nil, errors.Wrap(err, "benchmark")
	}
	for rd.Scan() {
		res, ok := rd.Result().(*benchfmt.Result)
		if !ok || !match.MatchString(nameOf(res)) {
			continue
		}
		size := sized.FindStringSubmatch(nameOf(res))
		y, ok := res.Value(unit)
		if size == nil || !ok {
			continue
		}
		x, err := strconv.ParseFloat(size[1], 64)
		if err != nil {
			return nil, errors.Wrap(err, "size")
		}
		ps = append(ps, point{x, y})
	}
	if err := rd.Err(); err != nil {
		return nil, errors.Wrap(err, "read results")
	}
	return ps, nil
}

// printFit prints the line through the measurements in r.
func printFit(w io.Writer, r io.Reader, bench, unit string) error {
	ps, err := points(r, bench, unit)
	if err != nil {
		return err
	}
	l, err := fit(ps)
	if err != nil {
		return errors.Wrapf(err, "%s %s", bench, unit)
	}
	_, err = fmt.Fprintf(w, "%s %s: %.4g + %.4g per unit, %d points, rms residual %.3g, worst %.1f %%\n",
		bench, unit, l.base, l.slope, len(ps), l.rms, 100*l.worst)
	return err
}
