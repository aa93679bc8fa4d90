//! The table at the end of a run: a line for each metric of each point.
use super::growth::Growth;
use super::measurement::{CallsMeasurement, ControlMeasurement};
use super::point::Point;
use crate::experiment::{CallsSize, ControlSize};
use crate::statistics::Spread;

const COLUMNS: usize = 5;
const HEADINGS: [&str; COLUMNS] = ["point", "figure", "least", "median", "most"];

type Row = [String; COLUMNS];

/// All points with the spread of their metrics.
pub(super) fn render(
    calls: &[Point<CallsSize, CallsMeasurement>],
    growth: &[Growth],
    control: &[Point<ControlSize, ControlMeasurement>],
) -> String {
    let mut rows: Vec<Row> = vec![HEADINGS.map(String::from)];
    for point in calls {
        let label = calls_label(&point.size);
        rows.extend(point.spread.iter().map(|spread| row(&label, spread)));
    }
    for growth in growth {
        rows.extend(growth_rows(growth));
    }
    for point in control {
        let label = control_label(&point.size);
        rows.extend(point.spread.iter().map(|spread| row(&label, spread)));
    }
    align_columns(&rows)
}

fn calls_label(size: &CallsSize) -> String {
    format!(
        "{} calls/s, depth {}, {}% failing",
        size.calls_per_second, size.depth, size.leaf_failing_percent
    )
}

fn control_label(size: &ControlSize) -> String {
    format!(
        "{} endpoints, {} changes/min",
        size.endpoints, size.changes_per_minute
    )
}

/// The fitted growth. The columns for the smallest and the greatest value hold the ends of its 95% interval, not a
/// spread over repeats.
fn growth_rows(growth: &Growth) -> [Row; 2] {
    let label = format!(
        "{} calls/s, {}% failing",
        growth.calls_per_second, growth.leaf_failing_percent
    );
    let [factor_min, factor_max] = growth.per_hop_95;
    let factor = Spread {
        name: "attempts_factor_per_hop_95",
        min: factor_min,
        median: growth.per_hop,
        max: factor_max,
    };
    let [extrapolated_min, extrapolated_max] = growth.at_depth_25_95;
    let extrapolated = Spread {
        name: "attempts_at_depth_25_95",
        min: extrapolated_min,
        median: growth.at_depth_25,
        max: extrapolated_max,
    };
    [row(&label, &factor), row(&label, &extrapolated)]
}

fn row(label: &str, spread: &Spread) -> Row {
    [
        label.to_string(),
        spread.name.to_string(),
        format_number(spread.min),
        format_number(spread.median),
        format_number(spread.max),
    ]
}

fn format_number(value: f64) -> String {
    format!("{value:.3}")
}

/// Lines with text on the left and numbers on the right.
fn align_columns(rows: &[Row]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: [usize; COLUMNS] = std::array::from_fn(width);
    let line = |row: &Row| {
        format!(
            "{:<w0$}  {:<w1$}  {:>w2$}  {:>w3$}  {:>w4$}",
            row[0],
            row[1],
            row[2],
            row[3],
            row[4],
            w0 = widths[0],
            w1 = widths[1],
            w2 = widths[2],
            w3 = widths[3],
            w4 = widths[4],
        )
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}
