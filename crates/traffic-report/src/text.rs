//! Formats reports as text: tables for people, and CSV for further processing.
use crankpaddle_cross_zone_traffic::report::{BudgetReport, ByteTotals, FlowReport, TrafficReport};

/// Units of byte counts. Each one is 1,000 times the previous one.
const BYTE_UNITS: [&str; 6] = ["B", "kB", "MB", "GB", "TB", "PB"];
const BYTE_UNIT_FACTOR: f64 = 1000.0;
/// Lower bound of the divisor when usage is divided by a budget's rate, in kB per second, because that rate may be 0.
const MIN_BUDGET_RATE_KB: f64 = 1e-9;

// The column headings match the user documentation and must not change.
const FLOW_COLUMNS: [&str; 9] = [
    "FROM",
    "TO",
    "CLASS",
    "TENANT",
    "GROUP",
    "FOR",
    "CROSSES",
    "BYTES",
    "COUNTED BY SERVERS",
];
const BUDGET_COLUMNS: [&str; 13] = [
    "FROM",
    "TO",
    "CLASS",
    "BUDGET kB/s",
    "PAID kB/s",
    "REST kB/s",
    "USED",
    "PART",
    "DEBT",
    "OVER: HALL LOST",
    "OVER: HALL FULL",
    "WRITTEN OFF",
    "LOWERED",
];
const CSV_HEADER: &str = "from,to,class,tenant,group,purpose,crosses,hour_ms,bytes,measured_bytes,\
                          corrected_bytes,estimated_bytes,overstated_bytes";

/// Formats a byte count in the largest unit in which it is at least 1.
fn readable_bytes(bytes: u64) -> String {
    let mut value = bytes as f64;
    let mut unit = 0;
    while value >= BYTE_UNIT_FACTOR && unit + 1 < BYTE_UNITS.len() {
        value /= BYTE_UNIT_FACTOR;
        unit += 1;
    }
    if unit == 0 {
        format!("{bytes} B")
    } else {
        format!("{value:.1} {}", BYTE_UNITS[unit])
    }
}

/// Formats a header and rows, with each column as wide as its widest cell.
fn aligned_columns(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let widths = column_widths(&header, rows);
    let mut lines = vec![padded_line(&header, &widths)];
    lines.extend(rows.iter().map(|row| padded_line(row, &widths)));
    lines.join("\n")
}

fn column_widths(header: &[String], rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (cell, width) in row.iter().zip(&mut widths) {
            *width = (*width).max(cell.chars().count());
        }
    }
    widths
}

fn padded_line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}

fn text_or_dash(text: &str) -> String {
    if text.is_empty() { "-" } else { text }.to_owned()
}

/// Formats the flows and budgets as tables, followed by the numbers of unsettled sessions and of dropped counts.
#[must_use]
pub fn format_tables(report: &TrafficReport) -> String {
    let flow_rows: Vec<_> = report.flows.iter().map(flow_row).collect();
    let mut text = aligned_columns(&FLOW_COLUMNS, &flow_rows);
    if !report.budgets.is_empty() {
        let budget_rows: Vec<_> = report.budgets.iter().map(budget_row).collect();
        text.push_str("\n\n");
        text.push_str(&aligned_columns(&BUDGET_COLUMNS, &budget_rows));
    }
    text.push_str(&format!(
        "\n\n{} sessions not settled yet, {} counts too late",
        report.unsettled_sessions, report.dropped_late_reports
    ));
    text
}

fn flow_row(flow: &FlowReport) -> Vec<String> {
    vec![
        flow.from.clone(),
        flow.to.clone(),
        flow.class.clone(),
        text_or_dash(&flow.tenant),
        text_or_dash(&flow.group),
        flow.purpose.clone(),
        if flow.crosses { "yes" } else { "" }.to_owned(),
        readable_bytes(flow.bytes),
        format!("{:.1}%", 100.0 * measured_fraction(flow)),
    ]
}

/// The fraction of a flow's bytes that servers counted, 0 to 1. Overstated bytes are not part of it.
fn measured_fraction(flow: &FlowReport) -> f64 {
    let measured = flow.measured_bytes.saturating_sub(flow.overstated_bytes);
    (measured as f64 / flow.bytes.max(1) as f64).min(1.0)
}

fn budget_row(budget: &BudgetReport) -> Vec<String> {
    vec![
        budget.from.clone(),
        budget.to.clone(),
        text_or_dash(&budget.class),
        format!("{:.0}", budget.rate_kb),
        format!("{:.0}", budget.paid_kb),
        format!("{:.0}", budget.other_kb),
        if budget.rate_kb > 0.0 {
            format!("{:.0}%", used_percent(budget))
        } else {
            "-".to_owned()
        },
        format!("{:.3}", budget.quota),
        budget
            .level
            .map_or("-".to_owned(), |level| format!("{level:.2}")),
        readable_bytes(budget.overdraft_zone_down_bytes),
        readable_bytes(budget.overdraft_zone_full_bytes),
        readable_bytes(budget.written_off_bytes),
        budget.capped_sessions.to_string(),
    ]
}

fn used_percent(budget: &BudgetReport) -> f64 {
    let used_kb = budget.paid_kb + budget.other_kb;
    100.0 * (used_kb / budget.rate_kb.max(MIN_BUDGET_RATE_KB))
}

/// Formats the current usage of each budget on a line. Without budgets, returns one line with all bytes that crossed zones.
#[must_use]
pub fn watch_line(report: &TrafficReport) -> String {
    if report.budgets.is_empty() {
        let crossed_bytes: u64 = report
            .flows
            .iter()
            .filter(|flow| flow.crosses)
            .map(|flow| flow.bytes)
            .sum();
        return format!(
            "no budgets; crossed so far {}",
            readable_bytes(crossed_bytes)
        );
    }
    let lines: Vec<String> = report.budgets.iter().map(budget_line).collect();
    lines.join("\n")
}

fn budget_line(budget: &BudgetReport) -> String {
    let class = if budget.class.is_empty() {
        String::new()
    } else {
        format!(" {}", budget.class)
    };
    let overdraft_bytes = budget.overdraft_zone_down_bytes + budget.overdraft_zone_full_bytes;
    format!(
        "{} > {}{class}: paid {:.0} rest {:.0} of {:.0} kB/s ({:.0}%), over {}, lowered {}",
        budget.from,
        budget.to,
        budget.paid_kb,
        budget.other_kb,
        budget.rate_kb,
        used_percent(budget),
        readable_bytes(overdraft_bytes),
        budget.capped_sessions
    )
}

/// Formats a CSV cell, which is quoted if RFC 4180 requires it.
fn csv_cell(cell: &str) -> String {
    if cell.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}

/// Formats the flows as CSV according to RFC 4180: for each flow, a row with its totals, in which the hour is empty, and a row
/// for each recent hour.
#[must_use]
pub fn format_csv(report: &TrafficReport) -> String {
    let mut lines = vec![CSV_HEADER.to_owned()];
    for flow in &report.flows {
        let name_cells = csv_name_cells(flow);
        lines.push(csv_total_row(&name_cells, flow));
        lines.extend(
            flow.hours
                .iter()
                .map(|hour| csv_hour_row(&name_cells, flow, hour)),
        );
    }
    lines.join("\r\n") + "\r\n"
}

fn csv_name_cells(flow: &FlowReport) -> String {
    [
        &flow.from,
        &flow.to,
        &flow.class,
        &flow.tenant,
        &flow.group,
        &flow.purpose,
    ]
    .map(|name| csv_cell(name))
    .join(",")
}

fn csv_total_row(name_cells: &str, flow: &FlowReport) -> String {
    let bytes_by_source = [
        flow.measured_bytes,
        flow.corrected_bytes,
        flow.estimated_bytes,
        flow.overstated_bytes,
    ];
    let source_cells = bytes_by_source.map(|bytes| bytes.to_string()).join(",");
    format!(
        "{name_cells},{},,{},{source_cells}",
        flow.crosses, flow.bytes
    )
}

fn csv_hour_row(name_cells: &str, flow: &FlowReport, hour: &ByteTotals) -> String {
    format!(
        "{name_cells},{},{},{},,,,",
        flow.crosses, hour.at_ms, hour.bytes
    )
}

#[cfg(test)]
mod tests;
