use super::*;
use crankpaddle_cross_zone_traffic::report::ByteTotals;

fn report() -> TrafficReport {
    let flow = FlowReport {
        from: "south".into(),
        to: "north".into(),
        class: "a \"quoted\", class".into(),
        purpose: "playing".into(),
        crosses: true,
        bytes: 1_234_567,
        measured_bytes: 1_234_567,
        hours: vec![ByteTotals {
            at_ms: 3_600_000,
            bytes: 1_234_567,
        }],
        ..FlowReport::default()
    };
    let budget = BudgetReport {
        from: "south".into(),
        to: "north".into(),
        class: String::new(),
        rate_kb: 200.0,
        quota: 1.0,
        level: None,
        paid_kb: 150.0,
        other_kb: 100.0,
        overdraft_zone_down_bytes: 999,
        overdraft_zone_full_bytes: 0,
        written_off_bytes: 0,
        capped_sessions: 2,
    };
    TrafficReport {
        flows: vec![flow],
        budgets: vec![budget],
        ..TrafficReport::default()
    }
}

#[test]
fn tables_are_aligned_and_show_the_usage_of_budgets() {
    let text = format_tables(&report());
    let lines: Vec<&str> = text.lines().collect();
    let bytes_column = lines[0].find("BYTES").unwrap();
    assert!(
        lines[1][bytes_column..].starts_with("1.2 MB") && lines[1].ends_with("100.0%"),
        "{text}"
    );
    assert!(text.contains("125%") && text.contains("999 B"), "{text}");
    assert_eq!(
        watch_line(&report()),
        "south > north: paid 150 rest 100 of 200 kB/s (125%), over 999 B, lowered 2"
    );
}

#[test]
fn csv_cells_are_quoted_where_required_and_all_lines_have_the_same_number_of_cells() {
    let text = format_csv(&report());
    assert_eq!(text.matches("\r\n").count(), 3);
    assert!(
        text.contains("south,north,\"a \"\"quoted\"\", class\",,,playing,true,3600000,1234567,,,,")
    );
    let unquoted = text.replace("\"a \"\"quoted\"\", class\"", "class");
    assert!(
        unquoted.lines().all(|line| line.split(',').count() == 13),
        "{unquoted}"
    );
}
