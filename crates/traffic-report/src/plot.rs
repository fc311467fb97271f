//! A report as a picture: what crossed in late minutes, by class, beside the budgets.
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const SIZE: (u32, u32) = (960, 480);
const MINUTE_MS: u64 = 60_000;

/// An SVG of the rates that crossed over late minutes, one line a class and zone pair, budgets as level lines.
///
/// # Errors
/// Nothing crossed in late minutes, or the picture could not be drawn.
pub fn svg(report: &TrafficReport) -> Result<String, String> {
    let mut lines: BTreeMap<String, BTreeMap<u64, f64>> = BTreeMap::new();
    let mut minutes = BTreeSet::new();
    for f in report.flows.iter().filter(|f| f.crosses) {
        for m in &f.minutes {
            let line = lines
                .entry(format!("{} > {}, {}", f.from, f.to, f.class))
                .or_default();
            *line.entry(m.at_ms).or_default() += m.bytes as f64 / 1000.0 / 60.0;
            minutes.insert(m.at_ms);
        }
    }
    let (Some(first), Some(last)) = (minutes.first().copied(), minutes.last().copied()) else {
        return Err("nothing crossed in late minutes".into());
    };
    let budgets: Vec<(String, f64)> = report
        .budgets
        .iter()
        .map(|b| {
            (
                format!("budget {} > {} {}", b.from, b.to, b.class),
                b.rate_kb,
            )
        })
        .collect();
    let rates = lines.values().flat_map(|l| l.values().copied());
    let top = rates
        .chain(budgets.iter().map(|(_, kb)| *kb))
        .fold(1.0, f64::max)
        * 1.1;
    let ago = |at_ms: u64| -(((last - at_ms) / MINUTE_MS) as f64);
    let mut text = String::new();
    let draw = |text: &mut String| -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .caption("Traffic between halls, kB/s", ("sans-serif", 18))
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(ago(first).min(-1.0)..0.0, 0.0..top)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .x_desc("minutes ago")
            .draw()
            .map_err(|e| e.to_string())?;
        for (n, (name, line)) in lines.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let points = minutes
                .iter()
                .map(|at| (ago(*at), line.get(at).copied().unwrap_or(0.0)));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|e| e.to_string())?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2))
                });
        }
        for (name, kb) in &budgets {
            let points = [(ago(first).min(-1.0), *kb), (0.0, *kb)];
            chart
                .draw_series(LineSeries::new(points, BLACK.mix(0.5)))
                .map_err(|e| e.to_string())?
                .label(name)
                .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK.mix(0.5)));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
        Ok(())
    };
    draw(&mut text).map_err(|e| e.to_string())?;
    Ok(text)
}

#[cfg(test)]
mod tests;
