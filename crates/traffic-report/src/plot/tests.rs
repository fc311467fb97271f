use super::*;
use crankpaddle_cross_zone_traffic::report::{ByteTotals, FlowReport};

#[test]
fn a_plot_labels_its_lines_and_a_report_without_traffic_is_an_error() {
    assert!(plot_svg(&TrafficReport::default()).is_err());
    let minutes = (0..5)
        .map(|minute| ByteTotals {
            at_ms: minute * MINUTE_MS,
            bytes: 6_000_000 * minute,
        })
        .collect();
    let (from, to, class) = ("south".into(), "north".into(), "preview".into());
    let flow = FlowReport {
        from,
        to,
        class,
        crosses: true,
        minutes,
        ..FlowReport::default()
    };
    let text = plot_svg(&TrafficReport {
        flows: vec![flow],
        ..TrafficReport::default()
    })
    .unwrap();
    assert!(
        text.starts_with("<svg") && text.contains("south &gt; north, preview"),
        "{text}"
    );
    assert!(text.contains("polyline") || text.contains("<path"));
}
