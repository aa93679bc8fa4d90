//! The table at the end of a run: a line for each figure of each point.
use super::{Growth, Report, Spread};
use crate::experiment::{CallsSize, ControlSize};

const HEADINGS: [&str; 5] = ["point", "figure", "least", "median", "most"];

type Row = [String; 5];

impl Report {
    /// All points with the spread of their figures.
    pub fn table(&self) -> String {
        let mut rows: Vec<Row> = vec![HEADINGS.map(String::from)];
        for point in &self.calls {
            rows.extend(
                point
                    .spread
                    .iter()
                    .map(|spread| row(calls_label(&point.size), spread)),
            );
        }
        for growth in &self.growth {
            rows.extend(growth_rows(growth));
        }
        for point in &self.control {
            rows.extend(
                point
                    .spread
                    .iter()
                    .map(|spread| row(control_label(&point.size), spread)),
            );
        }
        aligned(&rows)
    }
}

fn calls_label(size: &CallsSize) -> String {
    format!(
        "{} calls/s, depth {}, {}% failing",
        size.calls_per_second, size.depth, size.leaf_failing_percent
    )
}

/// The fitted law, with the ends of its 95% interval in place of a spread over repeats.
fn growth_rows(growth: &Growth) -> [Row; 2] {
    let label = format!(
        "{} calls/s, {}% failing",
        growth.calls_per_second, growth.leaf_failing_percent
    );
    let row = |name: &'static str, [least, most]: [f64; 2], median| {
        row(
            label.clone(),
            &Spread {
                name,
                least,
                median,
                most,
            },
        )
    };
    [
        row(
            "attempts_factor_per_hop_95",
            growth.per_hop_95,
            growth.per_hop,
        ),
        row(
            "attempts_at_depth_25_95",
            growth.at_depth_25_95,
            growth.at_depth_25,
        ),
    ]
}

fn control_label(size: &ControlSize) -> String {
    format!(
        "{} endpoints, {} changes/min",
        size.endpoints, size.changes_per_minute
    )
}

fn row(label: String, spread: &Spread) -> Row {
    [
        label,
        spread.name.to_string(),
        number(spread.least),
        number(spread.median),
        number(spread.most),
    ]
}

fn number(value: f64) -> String {
    format!("{value:.3}")
}

/// Text to the left, numbers to the right.
fn aligned(rows: &[Row]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths = [width(0), width(1), width(2), width(3), width(4)];
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
