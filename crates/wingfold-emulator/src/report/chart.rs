//! The chart of the service ratio over time, in SVG.

use crate::experiment::Experiment;
use crate::results::{ServiceWindow, WINDOW_S};
use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

/// Width and height of the chart in pixels.
const CHART_SIZE: (u32, u32) = (900, 360);
const SEED_COLOR: RGBColor = RGBColor(190, 200, 215);
const MEAN_COLOR: RGBColor = RGBColor(20, 60, 130);
const MEAN_LINE_WIDTH: u32 = 3;
/// The upper end of the service axis; leaves a gap above the highest ratio, 1.
const MAX_SERVICE: f64 = 1.05;

/// The chart could not be drawn.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("cannot draw the service chart: {0}")]
pub struct ChartError(String);

type DrawingError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

impl From<DrawingError<'_>> for ChartError {
    fn from(error: DrawingError<'_>) -> ChartError {
        ChartError(error.to_string())
    }
}

/// Draws the service ratio over time: a thin line for each seed and a thick line for the mean of all seeds.
pub fn chart(experiment: &Experiment) -> Result<String, ChartError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        draw_service(&area, experiment)?;
        area.present()?;
    }
    Ok(svg)
}

fn draw_service<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    experiment: &Experiment,
) -> Result<(), DrawingError<'a>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..experiment.scenario.duration.secs(), 0.0..MAX_SERVICE)?;
    chart.configure_mesh().max_light_lines(1).x_desc("s").y_desc("service").draw()?;
    for run in &experiment.runs {
        let ratios = run.result.windows.iter().map(ServiceWindow::service_ratio).collect();
        chart.draw_series(LineSeries::new(window_points(ratios), SEED_COLOR))?;
    }
    let mean_style = MEAN_COLOR.stroke_width(MEAN_LINE_WIDTH);
    chart.draw_series(LineSeries::new(window_points(mean_ratios(experiment)), mean_style))?;
    Ok(())
}

/// The mean service ratio of all seeds, by window.
fn mean_ratios(experiment: &Experiment) -> Vec<f64> {
    let windows = experiment.runs.first().map_or(0, |run| run.result.windows.len());
    let mean_ratio = |window: usize| experiment.mean(|result| result.windows[window].service_ratio()).mean;
    (0..windows).map(mean_ratio).collect()
}

/// One point for each window: the middle of the window in seconds, and the value.
fn window_points(values: Vec<f64>) -> Vec<(f64, f64)> {
    let mut points = Vec::with_capacity(values.len());
    for (index, value) in values.into_iter().enumerate() {
        let middle_s = (index as f64 + 0.5) * WINDOW_S;
        points.push((middle_s, value));
    }
    points
}
