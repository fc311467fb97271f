//! Checks that the printed texts and the plot of a report stay the same byte for byte, by their digests.
use crankpaddle_cross_zone_traffic::report::{BudgetReport, ByteTotals, FlowReport, TrafficReport};
use crankpaddle_traffic_report::{format_csv, format_tables, load, plot_svg, watch_line};

const MINUTE_MS: u64 = 60_000;

/// FNV-1a, 64 bits.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn flow(from: &str, class: &str, scale: u64) -> FlowReport {
    let spans = |end: u64, length_ms: u64| {
        (1..end)
            .map(|span_number| ByteTotals {
                at_ms: span_number * length_ms * scale,
                bytes: 6_543_210 * span_number * scale,
            })
            .collect()
    };
    FlowReport {
        from: from.into(),
        to: "north".into(),
        class: class.into(),
        tenant: if scale > 1 { "main" } else { "" }.into(),
        group: if scale > 1 { "sport, \"live\"" } else { "" }.into(),
        purpose: "playing".into(),
        crosses: from != "north",
        bytes: 987_654_321 * scale,
        measured_bytes: 900_000_000 * scale,
        corrected_bytes: 80_000_000 * scale,
        estimated_bytes: 10_000_000 * scale,
        overstated_bytes: 2_345_679 * scale,
        minutes: spans(7, MINUTE_MS),
        hours: spans(3, 60 * MINUTE_MS),
    }
}

fn budget(class: &str, rate_kb: f64) -> BudgetReport {
    BudgetReport {
        from: "south".into(),
        to: "north".into(),
        class: class.into(),
        rate_kb,
        quota: 1.0 / 3.0,
        level: (rate_kb > 0.0).then_some(0.777),
        paid_kb: 150.4,
        other_kb: 99.6,
        overdraft_zone_down_bytes: 999,
        overdraft_zone_full_bytes: 123_456,
        written_off_bytes: 5_000_000_000,
        capped_sessions: 2,
    }
}

fn report() -> TrafficReport {
    TrafficReport {
        front: 4,
        at_ms: 99 * MINUTE_MS,
        flows: vec![
            flow("south", "preview", 1),
            flow("south", "paid", 2),
            flow("west", "paid", 1),
            flow("north", "paid", 3),
        ],
        budgets: vec![budget("", 2000.0), budget("paid", 0.0)],
        unsettled_sessions: 5,
        dropped_late_reports: 6,
    }
}

#[test]
fn texts_and_plot_stay_the_same_byte_for_byte() {
    let report = report();
    let empty_report = TrafficReport::default();
    assert_eq!(
        plot_svg(&empty_report).unwrap_err().to_string(),
        "no traffic between zones in recent minutes"
    );
    let texts = [
        format_tables(&report),
        format_csv(&report),
        watch_line(&report),
        plot_svg(&report).unwrap(),
        format_tables(&empty_report),
        format_csv(&empty_report),
        watch_line(&empty_report),
    ];
    assert_eq!(
        texts.map(|text| digest(&text)),
        [
            8_381_157_589_588_852_231,
            13_084_634_938_094_523_375,
            4_177_928_792_566_881_763,
            4_937_033_294_448_281_335,
            1_671_571_345_259_751_641,
            1_689_502_806_817_133_226,
            8_114_275_337_846_584_901,
        ]
    );
}

#[test]
fn a_file_without_a_report_is_an_error_with_a_fixed_text() {
    let directory = std::env::temp_dir().join(format!("traffic-report-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join("report");
    let absent = load(&path).unwrap_err().to_string();
    std::fs::write(&path, "{}").unwrap();
    let malformed = load(&path).unwrap_err().to_string();
    std::fs::remove_dir_all(&directory).unwrap();
    assert_eq!(
        [absent.as_str(), malformed.as_str()],
        [
            "No such file or directory (os error 2)",
            "not a traffic report: missing field `front` at line 1 column 2"
        ]
    );
}
