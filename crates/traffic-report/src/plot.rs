//! Plots the rates at which traffic crossed zones in recent minutes, by zone pair and class, together with the budgets.
use crate::PlotError;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use plotters::chart::ChartContext;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::{
    Cartesian2d, ChartBuilder, Color, DrawingArea, IntoDrawingArea, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, BLACK, WHITE,
};
use plotters::style::{RGBAColor, ShapeStyle};
use std::collections::{BTreeMap, BTreeSet};

/// Width and height, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 480);
const MARGIN_PX: u32 = 12;
/// Part of the documented output, which calls zones halls.
const CAPTION: &str = "Traffic between halls, kB/s";
const CAPTION_FONT: (&str, u32) = ("sans-serif", 18);
const X_LABELS_HEIGHT_PX: u32 = 36;
const Y_LABELS_WIDTH_PX: u32 = 64;
/// Length of the sample of a line in the legend, in pixels.
const LEGEND_SAMPLE_LENGTH_PX: i32 = 16;
const LINE_WIDTH_PX: u32 = 2;
const BUDGET_OPACITY: f64 = 0.5;
const LEGEND_OPACITY: f64 = 0.8;
/// Ratio of the end of the vertical axis to the highest value.
const Y_AXIS_MARGIN_FACTOR: f64 = 1.1;
/// Minimum for the highest value on the vertical axis, in kB per second.
const MIN_Y_AXIS_KB: f64 = 1.0;
/// The horizontal axis starts at this position or further left, in minutes relative to the last minute.
const MAX_X_AXIS_START_MINUTES: f64 = -1.0;

const MINUTE_MS: u64 = 60_000;
const SECONDS_PER_MINUTE: f64 = 60.0;
const BYTES_PER_KB: f64 = 1000.0;

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type RateChart<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A budget, drawn as a horizontal line.
struct BudgetLine {
    label: String,
    rate_kb: f64,
}

/// The data to draw.
struct PlotData {
    /// By label, rates in kB per second by the start of the minute, in milliseconds since 1970.
    rate_lines: BTreeMap<String, BTreeMap<u64, f64>>,
    budget_lines: Vec<BudgetLine>,
    /// Starts of the minutes with traffic between zones, in milliseconds since 1970.
    minutes_ms: BTreeSet<u64>,
    first_minute_ms: u64,
    last_minute_ms: u64,
}

/// Plots a report as an SVG document: a line for the rates of each zone pair and class over recent minutes, and a horizontal
/// line for each budget.
///
/// # Errors
/// Fails if the report contains no traffic between zones in recent minutes, or if the plot could not be drawn.
pub fn plot_svg(report: &TrafficReport) -> Result<String, PlotError> {
    let data = PlotData::new(report)?;
    let mut text = String::new();
    let area = SVGBackend::with_string(&mut text, PLOT_SIZE_PX).into_drawing_area();
    draw(&area, &data)?;
    drop(area);
    Ok(text)
}

impl PlotData {
    fn new(report: &TrafficReport) -> Result<PlotData, PlotError> {
        let mut rate_lines: BTreeMap<String, BTreeMap<u64, f64>> = BTreeMap::new();
        let mut minutes_ms = BTreeSet::new();
        for flow in report.flows.iter().filter(|flow| flow.crosses) {
            for minute in &flow.minutes {
                let label = format!("{} > {}, {}", flow.from, flow.to, flow.class);
                let line = rate_lines.entry(label).or_default();
                *line.entry(minute.at_ms).or_default() +=
                    minute.bytes as f64 / BYTES_PER_KB / SECONDS_PER_MINUTE;
                minutes_ms.insert(minute.at_ms);
            }
        }
        let (Some(first), Some(last)) = (minutes_ms.first().copied(), minutes_ms.last().copied())
        else {
            return Err(PlotError::NothingCrossed);
        };
        Ok(PlotData {
            rate_lines,
            budget_lines: budget_lines(report),
            minutes_ms,
            first_minute_ms: first,
            last_minute_ms: last,
        })
    }

    /// Position of a minute on the horizontal axis, in minutes relative to the last one; 0 or negative.
    fn x_position_minutes(&self, at_ms: u64) -> f64 {
        -(((self.last_minute_ms - at_ms) / MINUTE_MS) as f64)
    }

    /// Start of the horizontal axis, in minutes relative to the last minute.
    fn x_axis_start_minutes(&self) -> f64 {
        self.x_position_minutes(self.first_minute_ms)
            .min(MAX_X_AXIS_START_MINUTES)
    }

    /// End of the vertical axis, in kB per second.
    fn y_axis_end_kb(&self) -> f64 {
        let rates = self
            .rate_lines
            .values()
            .flat_map(|line| line.values().copied());
        let budgets = self.budget_lines.iter().map(|line| line.rate_kb);
        rates.chain(budgets).fold(MIN_Y_AXIS_KB, f64::max) * Y_AXIS_MARGIN_FACTOR
    }
}

fn budget_lines(report: &TrafficReport) -> Vec<BudgetLine> {
    report
        .budgets
        .iter()
        .map(|budget| BudgetLine {
            label: format!("budget {} > {} {}", budget.from, budget.to, budget.class),
            rate_kb: budget.rate_kb,
        })
        .collect()
}

fn draw(area: &PlotArea<'_>, data: &PlotData) -> Result<(), PlotError> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN_PX)
        .caption(CAPTION, CAPTION_FONT)
        .x_label_area_size(X_LABELS_HEIGHT_PX)
        .y_label_area_size(Y_LABELS_WIDTH_PX)
        .build_cartesian_2d(data.x_axis_start_minutes()..0.0, 0.0..data.y_axis_end_kb())?;
    chart.configure_mesh().x_desc("minutes ago").draw()?;
    draw_rates(&mut chart, data)?;
    draw_budgets(&mut chart, data)?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(LEGEND_OPACITY))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn draw_rates(chart: &mut RateChart<'_, '_>, data: &PlotData) -> Result<(), PlotError> {
    for (index, (label, line)) in data.rate_lines.iter().enumerate() {
        let colour: RGBAColor = Palette99::pick(index).to_rgba();
        let points = data.minutes_ms.iter().map(|at_ms| {
            let rate_kb = line.get(at_ms).copied().unwrap_or(0.0);
            (data.x_position_minutes(*at_ms), rate_kb)
        });
        let style = colour.stroke_width(LINE_WIDTH_PX);
        draw_line(chart, points, label, style)?;
    }
    Ok(())
}

fn draw_budgets(chart: &mut RateChart<'_, '_>, data: &PlotData) -> Result<(), PlotError> {
    for line in &data.budget_lines {
        let points = [
            (data.x_axis_start_minutes(), line.rate_kb),
            (0.0, line.rate_kb),
        ];
        let style = BLACK.mix(BUDGET_OPACITY).into();
        draw_line(chart, points.into_iter(), &line.label, style)?;
    }
    Ok(())
}

/// Draws a line and adds it to the legend.
fn draw_line(
    chart: &mut RateChart<'_, '_>,
    points: impl Iterator<Item = (f64, f64)>,
    label: &str,
    style: ShapeStyle,
) -> Result<(), PlotError> {
    chart
        .draw_series(LineSeries::new(points, style))?
        .label(label)
        .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_SAMPLE_LENGTH_PX, y)], style));
    Ok(())
}

#[cfg(test)]
mod tests;
