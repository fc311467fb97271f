//! Reports as text: tables to read, CSV to reckon with.
use crankpaddle_cross_zone_traffic::report::{BudgetReport, FlowReport, TrafficReport};

/// Bytes as a person reads them.
fn bytes(n: u64) -> String {
    let units = ["B", "kB", "MB", "GB", "TB", "PB"];
    let mut value = n as f64;
    let mut unit = 0;
    while value >= 1000.0 && unit + 1 < units.len() {
        (value, unit) = (value / 1000.0, unit + 1);
    }
    if unit == 0 {
        format!("{n} B")
    } else {
        format!("{value:.1} {}", units[unit])
    }
}

/// Lines of cells, the columns as wide as they must be.
fn columns(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut wide: Vec<usize> = head.iter().map(|h| h.chars().count()).collect();
    for row in rows {
        row.iter()
            .zip(&mut wide)
            .for_each(|(cell, w)| *w = (*w).max(cell.chars().count()));
    }
    let line = |cells: Vec<String>| {
        let padded = cells
            .iter()
            .zip(&wide)
            .map(|(cell, w)| format!("{cell:<w$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    let mut lines = vec![line(head.iter().map(|h| (*h).to_owned()).collect())];
    lines.extend(rows.iter().map(|row| line(row.clone())));
    lines.join("\n")
}

fn dash(text: &str) -> String {
    if text.is_empty() { "-" } else { text }.to_owned()
}

/// Flows, budgets and what must be known of them, to be read.
pub fn table(report: &TrafficReport) -> String {
    let flow = |f: &FlowReport| {
        let known =
            f.measured_bytes.saturating_sub(f.overstated_bytes) as f64 / f.bytes.max(1) as f64;
        vec![
            f.from.clone(),
            f.to.clone(),
            f.class.clone(),
            dash(&f.tenant),
            dash(&f.group),
            f.purpose.clone(),
            if f.crosses { "yes" } else { "" }.to_owned(),
            bytes(f.bytes),
            format!("{:.1}%", 100.0 * known.min(1.0)),
        ]
    };
    let head = [
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
    let mut text = columns(&head, &report.flows.iter().map(flow).collect::<Vec<_>>());
    if !report.budgets.is_empty() {
        let head = [
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
        let rows: Vec<_> = report.budgets.iter().map(budget).collect();
        text.push_str("\n\n");
        text.push_str(&columns(&head, &rows));
    }
    text.push_str(&format!(
        "\n\n{} sessions not settled yet, {} counts too late",
        report.unsettled_sessions, report.dropped_late_reports
    ));
    text
}

fn used(b: &BudgetReport) -> f64 {
    (b.paid_kb + b.other_kb) / b.rate_kb.max(1e-9)
}

fn budget(b: &BudgetReport) -> Vec<String> {
    vec![
        b.from.clone(),
        b.to.clone(),
        dash(&b.class),
        format!("{:.0}", b.rate_kb),
        format!("{:.0}", b.paid_kb),
        format!("{:.0}", b.other_kb),
        if b.rate_kb > 0.0 {
            format!("{:.0}%", 100.0 * used(b))
        } else {
            "-".to_owned()
        },
        format!("{:.3}", b.quota),
        b.level
            .map_or("-".to_owned(), |level| format!("{level:.2}")),
        bytes(b.overdraft_hall_lost_bytes),
        bytes(b.overdraft_hall_full_bytes),
        bytes(b.written_off_bytes),
        b.capped_sessions.to_string(),
    ]
}

/// One line for each budget, as it stands now.
pub fn watch_line(report: &TrafficReport) -> String {
    let line = |b: &BudgetReport| {
        let class = if b.class.is_empty() {
            String::new()
        } else {
            format!(" {}", b.class)
        };
        format!(
            "{} > {}{class}: paid {:.0} rest {:.0} of {:.0} kB/s ({:.0}%), over {}, lowered {}",
            b.from,
            b.to,
            b.paid_kb,
            b.other_kb,
            b.rate_kb,
            100.0 * used(b),
            bytes(b.overdraft_hall_lost_bytes + b.overdraft_hall_full_bytes),
            b.capped_sessions
        )
    };
    let crossed: u64 = report
        .flows
        .iter()
        .filter(|f| f.crosses)
        .map(|f| f.bytes)
        .sum();
    let mut lines: Vec<String> = report.budgets.iter().map(line).collect();
    if lines.is_empty() {
        lines.push(format!("no budgets; crossed so far {}", bytes(crossed)));
    }
    lines.join("\n")
}

fn quoted(cell: &str) -> String {
    if cell.contains([',', '"', '\n', '\r']) {
        format!("\"{}\"", cell.replace('"', "\"\""))
    } else {
        cell.to_owned()
    }
}

/// Bytes of each flow by hour, and in all (without an hour), as RFC 4180 has CSV.
pub fn csv(report: &TrafficReport) -> String {
    let mut lines = vec![
        "from,to,class,tenant,group,purpose,crosses,hour_ms,bytes,measured_bytes,\
                          corrected_bytes,estimated_bytes,overstated_bytes"
            .to_owned(),
    ];
    for f in &report.flows {
        let names = [&f.from, &f.to, &f.class, &f.tenant, &f.group, &f.purpose]
            .map(|n| quoted(n))
            .join(",");
        let kinds = [
            f.measured_bytes,
            f.corrected_bytes,
            f.estimated_bytes,
            f.overstated_bytes,
        ];
        let kinds = kinds.map(|n| n.to_string()).join(",");
        lines.push(format!("{names},{},,{},{kinds}", f.crosses, f.bytes));
        let hour = |h: &crankpaddle_cross_zone_traffic::report::ByteTotals| {
            format!("{names},{},{},{},,,,", f.crosses, h.at_ms, h.bytes)
        };
        lines.extend(f.hours.iter().map(hour));
    }
    lines.join("\r\n") + "\r\n"
}

#[cfg(test)]
mod tests;
