//! SVG plots, and an HTML report with tables and plots in a single file without external resources.

use std::collections::BTreeMap;
use std::fmt::Display;

use plotters::prelude::*;
use thiserror::Error;

use crate::experiment::estimate;
use crate::report::Report;
use crate::scenario::{Incident, Scenario, INCIDENT_KINDS};

/// The drawing library failed to render a plot.
#[derive(Debug, Error)]
#[error("failed to draw the plot {0:?}: {1}")]
pub struct PlotError(String, String);

/// A data series of a line plot.
pub struct Series {
    /// Label in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

const SIZE: (u32, u32) = (860, 320);

/// Draws series over common axes as SVG. `shades` are intervals of x, such as incidents, that are shaded behind them.
///
/// # Errors
/// The drawing library failed.
pub fn line_plot(
    title: &str,
    axes: (&str, &str),
    lines: &[Series],
    shades: &[(f64, f64)],
) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg, axes, lines, shades).map_err(|error| PlotError(title.into(), error.to_string()))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    (x_name, y_name): (&str, &str),
    lines: &[Series],
    shades: &[(f64, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| &line.points);
    let right = points().map(|p| p.0).chain(shades.iter().map(|s| s.1)).fold(1e-9, f64::max);
    let left = points().map(|p| p.0).fold(right, f64::min).min(0.0);
    let top = points().map(|p| p.1).fold(1e-9, f64::max) * 1.05;
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(left..right, 0.0..top)?;
    let shade =
        |(from, to): &(f64, f64)| Rectangle::new([(*from, 0.0), (*to, top)], BLACK.mix(0.07).filled());
    chart.draw_series(shades.iter().map(shade))?;
    chart.configure_mesh().x_desc(x_name).y_desc(y_name).light_line_style(BLACK.mix(0.04)).draw()?;
    for (at, line) in lines.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    if lines.len() > 1 {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.2))
            .draw()?;
    }
    root.present()?;
    Ok(())
}

/// Plots service over time: a line for each policy, as the mean over the seeds.
///
/// # Errors
/// As [`line_plot`].
pub fn service_plot(scenario: &Scenario, reports: &[Report]) -> Result<String, PlotError> {
    let policy_lines: Vec<Series> = reports
        .chunk_by(|a, b| a.policy == b.policy)
        .map(|runs| {
            let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
            for window in runs.iter().flat_map(|report| &report.windows) {
                let sum = sums.entry(window.from_s as u64).or_default();
                *sum = (sum.0 + window.service, sum.1 + 1.0);
            }
            let points = sums.into_iter().map(|(from, (sum, count))| (from as f64, sum / count));
            Series { name: runs[0].policy.clone(), points: points.collect() }
        })
        .collect();
    let shade = |incident: &Incident| (incident.at.secs(), (incident.at.secs() + incident.length.secs()));
    let shades: Vec<(f64, f64)> = scenario.incidents.iter().map(shade).collect();
    let axes = ("start of the window, s", "worth answered in time");
    line_plot("service over time", axes, &policy_lines, &shades)
}

fn escape(text: impl Display) -> String {
    text.to_string().replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Renders the HTML report, without scripts or external resources.
///
/// # Errors
/// As [`line_plot`].
pub fn html_report(title: &str, scenario: &Scenario, reports: &[Report]) -> Result<String, PlotError> {
    let mut rows = String::new();
    for runs in reports.chunk_by(|a, b| a.policy == b.policy) {
        let mean = |get: &dyn Fn(&Report) -> f64| runs.iter().map(get).sum::<f64>() / runs.len() as f64;
        let service = estimate(&runs.iter().map(|r| r.service).collect::<Vec<_>>());
        let violations: u64 = runs.iter().flat_map(|r| r.rules.values()).sum();
        let cells = [
            escape(&runs[0].policy),
            format!("{:.3}", service.mean),
            match service.count > 1 {
                true => format!("{:.3} to {:.3}", service.low, service.high),
                false => "one seed".into(),
            },
            format!("{:.3}", mean(&|r| r.whole)),
            format!("{:.3}", mean(&|r| r.worst_window)),
            format!("{:.3}", mean(&|r| r.worst_class)),
            format!("{:.2}", mean(&Report::hit_ratio)),
            format!("{:.0}", mean(&|r| r.p99_ms)),
            if violations == 0 { "kept".into() } else { format!("broken {violations} times") },
        ];
        rows.push_str(&format!("<tr><td>{}</td></tr>\n", cells.join("</td><td>")));
    }
    let incidents: String = scenario
        .incidents
        .iter()
        .map(|incident| {
            let name =
                INCIDENT_KINDS.iter().find(|(_, kind)| *kind == incident.kind).map_or("?", |(name, _)| name);
            let (at, length) = (incident.at.secs(), incident.length.secs());
            format!(
                "<li>{name}: at {at} s for {length} s, part {}, size {}</li>\n",
                incident.part, incident.size
            )
        })
        .collect();
    let seeds = reports.chunk_by(|a, b| a.policy == b.policy).next().map_or(0, <[Report]>::len);
    let plot = service_plot(scenario, reports)?;
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n<style>\n\
         body {{ font: 15px/1.5 sans-serif; max-width: 900px; margin: 2em auto; color: #222 }}\n\
         table {{ border-collapse: collapse }} td, th {{ padding: 3px 10px; border-bottom: 1px solid #ddd; text-align: left }}\n\
         svg {{ max-width: 100%; height: auto }}\n</style></head><body>\n<h1>{title}</h1>\n\
         <p>{workers} log workers, {dispatchers} dispatchers, load {load}, {length} s, {seeds} seeds.</p>\n\
         <ul>\n{incidents}</ul>\n<h2>Service by policy</h2>\n<table>\n<tr><th>policy</th><th>service</th>\
         <th>95 % interval</th><th>whole</th><th>worst window</th><th>worst class</th><th>archives at hand</th>\
         <th>p99 ms</th><th>rules</th></tr>\n{rows}</table>\n<h2>Service over time</h2>\n{plot}\n</body></html>\n",
        title = escape(title),
        workers = scenario.count("workers"),
        dispatchers = scenario.count("dispatchers"),
        load = scenario.get("clients.load"),
        length = scenario.span("length").secs(),
    ))
}
