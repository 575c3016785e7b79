package main

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// writeTable writes a Markdown table. The column names in header are separated by vertical bars.
func writeTable(w io.Writer, header string, rows [][]string) {
	columns := strings.Split(header, "|")
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
	for _, r := range rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(r, " | "))
	}
	fmt.Fprintln(w)
}

// formatNumber formats v with the given number of digits after the decimal point. Undefined values appear as a dash.
func formatNumber(v float64, digits int) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "–"
	}
	return fmt.Sprintf("%.*f", digits, v)
}

// formatPercent formats a share as a percentage.
func formatPercent(v float64) string {
	if math.IsNaN(v) {
		return "–"
	}
	return fmt.Sprintf("%.1f%%", 100*v)
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// policyHeader names the columns of figures.cells.
const policyHeader = "max/mean 1 s|CV 1 s|max/mean 10 s|CV 10 s|p50 ms|p99 ms|p99.9 ms|shed|sends/request|goodput/s|" +
	"cross-zone|least and most group"

func (f *figures) cells() []string {
	return []string{
		formatNumber(f.maxToMean1s, 3), formatNumber(f.cv1s, 3), formatNumber(f.maxToMean10s, 3), formatNumber(f.cv10s, 3),
		formatNumber(f.p50, 1), formatNumber(f.p99, 1), formatNumber(f.p999, 1), formatPercent(f.shedRate),
		formatNumber(f.sendsPerCall, 3), formatNumber(f.goodput, 0), formatPercent(f.crossZoneShare),
		formatNumber(f.leastGroupShare, 2) + " to " + formatNumber(f.greatestGroupShare, 2),
	}
}

// idealCells returns the cells of policyHeader for an ideal even split, which has no imbalance, no wait for a slot and no lost
// requests below capacity. Its latency is the network delay plus the exponentially distributed service time.
func idealCells(load, capacity float64) []string {
	delay := 2 * (callerDelay + inZoneDelay).Seconds() * 1000
	quantile := func(q float64) string { return formatNumber(delay-math.Log(1-q)*meanServiceTime.Seconds()*1000, 1) }
	return []string{
		"1.000", "0.000", "1.000", "0.000", quantile(0.5), quantile(0.99), quantile(0.999), formatPercent(max(0, 1-1/load)),
		"1.000", formatNumber(min(load, 1)*capacity, 0), "0.0%", "1.00 to 1.00",
	}
}

func writeLoads(w io.Writer, results []*scenarioResult) {
	fmt.Fprint(w, "## Policies against load\n\n")
	capacity := 14 * slotsPerServer / meanServiceTime.Seconds()
	var rows [][]string
	for _, load := range tableLoads {
		r := resultAtLoad(results, load)
		for i := range r.byPolicy {
			f := &r.byPolicy[i]
			rows = append(rows, append([]string{formatNumber(load, 1), f.policy}, f.cells()...))
		}
		rows = append(rows, append([]string{formatNumber(load, 1), "ideal even split"}, idealCells(load, capacity)...))
	}
	writeTable(w, "load|policy|"+policyHeader, rows)
}

func writeScenarios(w io.Writer, results []*scenarioResult) {
	fmt.Fprintf(w, "## Scenarios at load %.1f\n\n", targetLoad)
	for _, r := range results {
		fmt.Fprintf(w, "### %s: %s\n\n", r.name, r.description)
		var rows [][]string
		for i := range r.byPolicy {
			rows = append(rows, append([]string{r.byPolicy[i].policy}, r.byPolicy[i].cells()...))
		}
		writeTable(w, "policy|"+policyHeader, rows)
	}
}

func writeFeeds(w io.Writer, results []*feedTableResult) {
	fmt.Fprintf(w, "## Open feeds: %d feeds on 14 backend servers\n\n", feedCount)
	var rows [][]string
	for _, r := range results {
		balancedText := "not within 30 s"
		switch {
		case r.balancedAfter < 0:
			balancedText = "always"
		case r.balancedAfter < feedMeasuredTime-200*time.Millisecond:
			balancedText = fmt.Sprintf("after %.1f s", r.balancedAfter.Seconds())
		}
		rows = append(rows, []string{r.scenario, r.policy, formatNumber(r.meanImbalance, 3), formatNumber(r.worstImbalance, 3),
			balancedText})
	}
	writeTable(w, "scenario|policy|max/mean, mean over 30 s|max/mean, worst|balanced", rows)
}

func writeMechanisms(w io.Writer, results []*mechanismResult) {
	fmt.Fprint(w, "## Limits, retries, shedding and zone spill\n\n")
	var rows [][]string
	for _, r := range results {
		f := &r.figures
		leastOther := math.Inf(1)
		for _, answered := range f.groupAnswered[1:] {
			leastOther = min(leastOther, answered)
		}
		rows = append(rows, []string{
			r.mechanism, r.setting, formatNumber(r.load, 2), onOff(r.enabled), formatNumber(f.goodput, 0), formatPercent(f.shedRate),
			fmt.Sprint(f.failedCalls), formatNumber(f.sendsPerCall, 3), formatNumber(f.p50, 1), formatNumber(f.p99, 1),
			formatNumber(f.maxToMean10s, 3), formatPercent(f.crossZoneShare) + " ± " + formatPercent(f.crossZoneDeviation),
			formatPercent(f.groupAnswered[0]), formatPercent(leastOther),
		})
	}
	writeTable(w, "mechanism|setting|load|mechanism is|goodput/s|shed|failed|sends/request|p50 ms|p99 ms|max/mean 10 s|"+
		"cross-zone, ± per s|group A answered|least other group answered", rows)
}

func writeHealth(w io.Writer, results []*healthResult) {
	fmt.Fprint(w, "## Ejection\n\n")
	var rows [][]string
	for _, r := range results {
		m, e := r.metrics, r.ejections
		rows = append(rows, []string{
			r.name, formatNumber(r.load, 2), onOff(r.ejection), formatNumber(m.goodput(), 0), fmt.Sprint(m.failedCalls),
			formatNumber(m.percentile(99), 1), formatNumber(m.percentile(99.9), 1), formatNumber(m.sendsPerCall(), 3),
			fmt.Sprint(e.deadEjections), fmt.Sprint(e.liveEjections), formatNumber(e.meanOwnZoneDelay(), 0),
			formatNumber(e.meanDelay(), 0), fmt.Sprint(e.maxEjected),
		})
	}
	writeTable(w, "fault|load|ejection is|goodput/s|failed|p99 ms|p99.9 ms|sends/request|ejections of dead|ejections of live|"+
		"time to eject ms, own zone|time to eject ms, all|most out at once", rows)
}
