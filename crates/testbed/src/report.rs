//! Tables and charts of results.

use crate::experiment::{Summary, difference, summaries};
use comfy_table::{CellAlignment, Table, presets};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Colours that most eyes can distinguish (Okabe and Ito).
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(230, 159, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(213, 94, 0),
    RGBColor(86, 180, 233),
    RGBColor(120, 120, 60),
    RGBColor(0, 0, 0),
];

/// Why tables or charts of results cannot be made.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file or folder cannot be read or written.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A file is not one of results.
    #[error("{path}: {error}")]
    Results {
        /// The file.
        path: PathBuf,
        /// Where and why.
        #[source]
        error: serde_json::Error,
    },
    /// A chart cannot be drawn.
    #[error("{0}")]
    Drawing(#[from] DrawingAreaErrorKind<io::Error>),
}

/// A table in Markdown's form; all but the first column stand to the right.
pub fn table(head: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN).set_header(head.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table.to_string()
}

/// A figure in as many digits as mean something.
pub fn figure(value: f64) -> String {
    match value.abs() {
        least if least >= 1000.0 => format!("{value:.0}"),
        least if least >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.4}"),
    }
}

/// The headline figures of several results of one thing: mean, interval, least, most, spread.
pub fn spread_table(results: &[Value]) -> String {
    let rows = summaries(results).into_iter().map(|(name, sum)| {
        let spread = format!("{:.2}%", 100.0 * sum.spread());
        vec![
            name,
            figure(sum.mean),
            format!("±{}", figure(sum.half)),
            figure(sum.least),
            figure(sum.most),
            spread,
        ]
    });
    table(&["figure", "mean", "95%", "least", "most", "spread"], rows.collect())
}

/// Two sets of results against each other; a difference whose interval holds no 0 is marked.
pub fn compare_table(a: &[Value], b: &[Value]) -> String {
    let (a, b) = (summaries(a), summaries(b));
    let none = Summary::of(&[]);
    let rows = a.iter().map(|(name, before)| {
        let after = b.get(name).unwrap_or(&none);
        let (apart, half) = difference(before, after);
        let single = before.n < 2 || after.n < 2;
        let half = if single { "one run only".to_owned() } else { format!("±{}", figure(half)) };
        let real = !single && apart.abs() > difference(before, after).1;
        let mark = if real { "*" } else { "" };
        vec![name.clone(), figure(before.mean), figure(after.mean), figure(apart), half, mark.to_owned()]
    });
    table(&["figure", "a", "b", "b - a", "95%", ""], rows.collect())
}

type Line = (String, Vec<(f64, f64)>);

/// What a chart shows.
pub struct Chart<'a> {
    /// Its title.
    pub title: &'a str,
    /// What the axes count.
    pub axes: (&'a str, &'a str),
    /// Vertical lines with their labels.
    pub marks: &'a [(f64, String)],
    /// The least that the upper edge shows.
    pub top: f64,
}

/// Draws lines over a common axis into an SVG file.
pub fn lines(path: &Path, chart: &Chart<'_>, lines: &[Line]) -> Result<(), ReportError> {
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|(x, _)| *x).fold(1e-9, f64::max);
    let left = points().map(|(x, _)| *x).fold(right, f64::min);
    let top = points().map(|(_, y)| *y).fold(chart.top, f64::max) * 1.05;
    let root = SVGBackend::new(path, (900, 420)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut plane = ChartBuilder::on(&root)
        .caption(chart.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(38)
        .y_label_area_size(56)
        .build_cartesian_2d(left..right, 0.0..top)?;
    plane.configure_mesh().light_line_style(WHITE).x_desc(chart.axes.0).y_desc(chart.axes.1).draw()?;
    for (i, (at, label)) in chart.marks.iter().enumerate() {
        let grey = RGBColor(150, 150, 150);
        plane.draw_series([PathElement::new(vec![(*at, 0.0), (*at, top)], grey.stroke_width(1))])?;
        let height = top * (0.98 - 0.05 * (i % 6) as f64);
        plane.draw_series([Text::new(
            label.clone(),
            (*at, height),
            ("sans-serif", 11).into_font().color(&grey),
        )])?;
    }
    for (i, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        let drawn = plane.draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?;
        drawn
            .label(name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    let place = SeriesLabelPosition::LowerRight;
    plane
        .configure_series_labels()
        .position(place)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn numbers(value: &Value) -> Vec<f64> {
    value.as_array().into_iter().flatten().filter_map(Value::as_f64).collect()
}

fn over_seconds(values: Vec<f64>) -> Vec<(f64, f64)> {
    values.into_iter().enumerate().map(|(second, value)| (second as f64, value)).collect()
}

/// Writes the tables and charts of all results in a folder beside them; returns the text of the page.
pub fn write_page(folder: &Path) -> Result<String, ReportError> {
    let mut groups: BTreeMap<String, Vec<Value>> = BTreeMap::new();
    let mut names: Vec<_> = std::fs::read_dir(folder)?.collect::<Result<Vec<_>, _>>()?;
    names.sort_by_key(std::fs::DirEntry::file_name);
    for entry in names {
        let path = entry.path();
        if path.extension().is_some_and(|extension| extension == "json") {
            let text = std::fs::read_to_string(&path)?;
            let read: Value = serde_json::from_str(&text)
                .map_err(|error| ReportError::Results { path: path.clone(), error })?;
            // A file holds one result or a list of them.
            let all = if let Value::Array(all) = read { all } else { vec![read] };
            for result in all {
                let name = |key: &str| result[key].as_str().unwrap_or("unnamed").to_owned();
                groups.entry(format!("{}-{}", name("scenario"), name("driver"))).or_default().push(result);
            }
        }
    }
    let mut text = String::from("# Rehearsals\n");
    for (name, results) in &groups {
        text += &format!("\n## {name}, {} runs\n\n{}\n\n", results.len(), spread_table(results));
        for (kind, what) in charts(folder, name, &results[0])? {
            text += &format!("![{what}]({name}-{kind}.svg)\n");
        }
        for breach in results[0]["told"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            text += &format!("\n- {breach}");
        }
    }
    std::fs::write(folder.join("README.md"), format!("{}\n", text.trim_end()))?;
    Ok(text)
}

/// One chart of a result.
struct ResultChart {
    /// Its kind, in the name of its file.
    kind: &'static str,
    /// What it shows, as the text beside it says.
    caption: &'static str,
    title: &'static str,
    axes: (&'static str, &'static str),
    /// Whether the steps of the script are marked.
    has_marks: bool,
}

const SERVICE: ResultChart = ResultChart {
    kind: "service",
    caption: "Service by second",
    title: "service by second",
    axes: ("s", "worth earned over worth due"),
    has_marks: true,
};
const REJECTED: ResultChart = ResultChart {
    kind: "refused",
    caption: "Refused by second",
    title: "refused by second",
    axes: ("s", "requests"),
    has_marks: true,
};
const BACKENDS: ResultChart = ResultChart {
    kind: "boxes",
    caption: "Attempts at each box",
    title: "attempts at each box (the first 12)",
    axes: ("s", "attempts a second"),
    has_marks: true,
};
const LATENCY: ResultChart = ResultChart {
    kind: "latency",
    caption: "Latency percentiles",
    title: "latency from when a request was due",
    axes: ("percentile", "ms"),
    has_marks: false,
};
/// The most backends that a chart shows.
const MAX_CHARTED_BACKENDS: usize = 12;

/// Draws the charts of one result; the kind and the caption of each.
fn charts(
    folder: &Path,
    name: &str,
    result: &Value,
) -> Result<Vec<(&'static str, &'static str)>, ReportError> {
    let all_marks = script_marks(result);
    let service = vec![("service".into(), over_seconds(numbers(&result["seconds"])))];
    let rejected = vec![("refused".into(), over_seconds(numbers(&result["refused"])))];
    let charts = [
        (SERVICE, service),
        (REJECTED, rejected),
        (BACKENDS, backend_lines(result)),
        (LATENCY, latency_lines(result)),
    ];
    let mut drawn = Vec::new();
    for (chart, all) in charts {
        let title = format!("{name}: {}", chart.title);
        let marks = if chart.has_marks { all_marks.as_slice() } else { &[] };
        let path = folder.join(format!("{name}-{}.svg", chart.kind));
        lines(&path, &Chart { title: &title, axes: chart.axes, marks, top: 1.0 }, &all)?;
        drawn.push((chart.kind, chart.caption));
    }
    Ok(drawn)
}

/// The steps of the script, by their times in seconds.
fn script_marks(result: &Value) -> Vec<(f64, String)> {
    let marks = result["marks"].as_array().into_iter().flatten();
    marks.filter_map(|mark| Some((mark[0].as_f64()?, mark[1].as_str()?.to_owned()))).collect()
}

fn backend_lines(result: &Value) -> Vec<Line> {
    let backends = result["boxes"].as_array().into_iter().flatten().take(MAX_CHARTED_BACKENDS).enumerate();
    backends.map(|(i, seconds)| (format!("box {i}"), over_seconds(numbers(seconds)))).collect()
}

fn latency_lines(result: &Value) -> Vec<Line> {
    let quantiles =
        [("p50_ms", 50.0), ("p90_ms", 90.0), ("p99_ms", 99.0), ("p999_ms", 99.9), ("max_ms", 100.0)];
    let classes = result["latency"].as_object().into_iter().flatten();
    let line = |(class, all): (&String, &Value)| {
        let points = quantiles.iter().filter_map(|(key, quantile)| Some((*quantile, all[*key].as_f64()?)));
        (class.clone(), points.collect())
    };
    classes.map(line).collect()
}
