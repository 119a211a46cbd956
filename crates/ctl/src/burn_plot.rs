//! Plots the burn rates of service-level targets.

use std::collections::BTreeMap;

use plotters::{
    backend::SVGBackend,
    chart::ChartBuilder,
    drawing::{DrawingAreaErrorKind, IntoDrawingArea},
    element::PathElement,
    series::LineSeries,
    style::{BLACK, Color, Palette, Palette99, RED, ShapeStyle, WHITE},
};

use crate::{
    burn_report::{BurnEntry, BurnReport},
    time_text::duration_text,
};

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (960, 540);

/// Minimum upper end of the burn axis, so that the line at a burn rate of 1 is visible.
const MIN_BURN_AXIS_MAX: f64 = 2.0;

/// Font size, in pixels.
const TEXT_SIZE: i32 = 16;

/// Returns an SVG plot of the burn rates.
///
/// The windows are on the horizontal axis. Each class and account has a line; a red line marks the
/// burn rate of 1, at which the error budget is used up.
pub(crate) fn plot_burn(report: &BurnReport) -> String {
    let mut svg = String::new();
    // The backend writes to memory and itself reports no errors.
    if let Err(error) = draw(report, &mut svg) {
        log::error!(target: "burn", "burn plot is incomplete: {error}");
    }
    svg
}

type PlotResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

fn draw(report: &BurnReport, svg: &mut String) -> PlotResult {
    let mut windows: Vec<u64> = report.entries.iter().map(|entry| entry.window_s).collect();
    windows.sort_unstable();
    windows.dedup();
    let y_max =
        report.entries.iter().map(|entry| entry.burn).fold(MIN_BURN_AXIS_MAX, f64::max) * 1.05;
    let x_max = windows.len().max(2) as f64 - 1.0;

    let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Service-level burn", ("sans-serif", TEXT_SIZE + 4))
        .margin(TEXT_SIZE)
        .x_label_area_size(3 * TEXT_SIZE)
        .y_label_area_size(4 * TEXT_SIZE)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    let window_label = |at: &f64| {
        let window = (at.fract() == 0.0).then(|| windows.get(*at as usize)).flatten();
        window.map_or(String::new(), |&window| duration_text(window))
    };
    chart
        .configure_mesh()
        .max_light_lines(0)
        .label_style(("sans-serif", TEXT_SIZE))
        .x_labels(windows.len().max(2))
        .x_label_formatter(&window_label)
        .x_desc("window")
        .y_desc("misses over allowed misses")
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, 1.0), (x_max, 1.0)], RED.stroke_width(2)))?;
    for (index, (name, points)) in series_points(report, &windows).into_iter().enumerate() {
        let style = ShapeStyle::from(&Palette99::pick(index)).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + TEXT_SIZE, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    area.present()
}

/// Returns the points of each class and account: the index of the window and the burn rate.
fn series_points(report: &BurnReport, windows: &[u64]) -> BTreeMap<String, Vec<(f64, f64)>> {
    let mut series: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for BurnEntry { window_s, class, account, burn, .. } in &report.entries {
        let at = windows.partition_point(|window| window < window_s);
        series.entry(format!("{class} {account}")).or_default().push((at as f64, *burn));
    }
    series
}
