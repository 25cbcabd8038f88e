//! Report of medians, ranges and fitted lines.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use super::SlopeRun;

/// Returns one table per series: the median and range of each figure, and a line through
/// the medians, fitted by least squares.
pub fn markdown_report(runs: &[SlopeRun]) -> String {
    let mut text = String::new();
    let mut series: BTreeMap<&str, Vec<&SlopeRun>> = BTreeMap::new();
    for run in runs {
        series.entry(&run.series).or_default().push(run);
    }
    for (name, runs) in series {
        let _ = write!(text, "{}", series_table(name, &runs));
    }
    text
}

fn series_table(name: &str, runs: &[&SlopeRun]) -> String {
    let mut values: Vec<u64> = runs.iter().map(|run| run.value).collect();
    values.sort_unstable();
    values.dedup();
    let loads = runs.iter().map(|run| run.load_average);
    let (least, most) = (
        loads.clone().fold(f64::MAX, f64::min),
        loads.fold(0.0, f64::max),
    );
    let columns: String = values.iter().map(|value| format!(" {value} |")).collect();
    let rules: String = values.iter().map(|_| "---|").collect();
    let mut text = format!(
        "\n### {name}\n\nLoad average {least} to {most}.\n\n\
         | figure |{columns} slope | at 0 |\n|---|{rules}---|---|\n"
    );
    let mut names: Vec<&String> = runs.iter().flat_map(|run| run.figures.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for figure in names {
        let mut points = Vec::new();
        let mut cells = String::new();
        for value in &values {
            let same = runs.iter().filter(|run| run.value == *value);
            let mut found: Vec<f64> = same
                .filter_map(|run| run.figures.get(figure).copied())
                .collect();
            found.sort_by(f64::total_cmp);
            let Some(median) = found.get(found.len() / 2) else {
                cells.push_str(" - |");
                continue;
            };
            points.push((*value as f64, *median));
            let _ = write!(
                cells,
                " {} ({}–{}) |",
                three_digits(*median),
                three_digits(found[0]),
                three_digits(found[found.len() - 1])
            );
        }
        let (slope, start) = straight_line(&points);
        let _ = writeln!(
            text,
            "| {figure} |{cells} {} | {} |",
            three_digits(slope),
            three_digits(start)
        );
    }
    text
}

/// Returns the slope and the value at zero, fitted by least squares.
fn straight_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let covariance = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y));
    let slope = match variance {
        0.0 => 0.0,
        _ => covariance.sum::<f64>() / variance,
    };
    (slope, mean_y - slope * mean_x)
}

/// Formats a figure with three significant digits.
fn three_digits(figure: f64) -> String {
    let digits = match figure.abs() {
        0.0 => 0,
        size if size >= 100.0 => 0,
        size => (2 - size.log10().floor() as i32).clamp(0, 6) as usize,
    };
    format!("{figure:.digits$}")
}
