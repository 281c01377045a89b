//! An experiment as tables (Markdown and CSV) and a chart (SVG).

use crate::experiment::{Estimate, Experiment};
use crate::results::{ServiceWindow, WINDOW_S};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write;
use std::io;
use std::path::Path;

const CHART_SIZE: (u32, u32) = (900, 360);
const SEED_COLOR: RGBColor = RGBColor(190, 200, 215);
const MEAN_COLOR: RGBColor = RGBColor(20, 60, 130);

const CSV_HEADER: &str = "scenario,seed,zone,class,asked,refused,good,late,lost,service,worst_10s,\
                          bare,twice,drain,cold,queue\n";

fn estimate(estimate: Estimate) -> String {
    match estimate.half_width.is_finite() {
        true => format!("{:.4} ± {:.4}", estimate.mean, estimate.half_width),
        false => format!("{:.4}", estimate.mean),
    }
}

/// The tables for people.
pub fn markdown(experiment: &Experiment) -> String {
    let mut out = String::new();
    write_summary(&mut out, experiment);
    write_figures(&mut out, experiment);
    write_classes(&mut out, experiment);
    write_rules(&mut out, experiment);
    out
}

fn write_summary(out: &mut String, experiment: &Experiment) {
    let scenario = &experiment.scenario;
    let seeds: Vec<String> = experiment.runs.iter().map(|(seed, _)| seed.to_string()).collect();
    let hosts: usize = scenario.host_kinds.iter().map(|kind| kind.count).sum();
    let _ = writeln!(out, "# {}\n\n{}\n", scenario.name, scenario.description);
    let _ = writeln!(
        out,
        "{} directors, {} proxies, {hosts} hosts, {:.0} requests/s, {:.0} s of virtual time; seeds {}.\n",
        scenario.settings.directors,
        scenario.settings.proxies,
        scenario.rate,
        scenario.duration.secs(),
        seeds.join(", ")
    );
}

fn write_figures(out: &mut String, experiment: &Experiment) {
    let _ = writeln!(out, "| figure | mean, 95 % interval | median |\n| --- | --- | --- |");
    let figures = [
        ("service (worth in time / worth asked)", experiment.mean(|run| run.service())),
        ("service in the worst 10 s", experiment.mean(|run| run.worst_service())),
        ("messages", experiment.mean(|run| run.messages as f64)),
        ("lines", experiment.mean(|run| run.lines as f64)),
        ("second tries", experiment.mean(|run| run.retries as f64)),
        ("requests that crossed zones", experiment.mean(|run| run.cross_zone_attempts as f64)),
    ];
    for (name, figure) in figures {
        let _ = writeln!(out, "| {name} | {} | {:.4} |", estimate(figure), figure.median);
    }
}

fn write_classes(out: &mut String, experiment: &Experiment) {
    let _ = writeln!(out, "\n| class | asked | turned away | in time | late | lost | p50 ms | p99 ms |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (class, load) in experiment.scenario.classes.iter().enumerate() {
        let counts = experiment.class(class);
        let latencies = experiment.latencies(class);
        let quantile_ms = |quantile: f64| latencies.value_at_quantile(quantile) as f64 / 1e3;
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {} | {} | {:.0} | {:.0} |",
            load.name,
            counts.asked,
            counts.refused,
            counts.good,
            counts.late,
            counts.lost,
            quantile_ms(0.5),
            quantile_ms(0.99)
        );
    }
}

fn write_rules(out: &mut String, experiment: &Experiment) {
    let worst = experiment.margins();
    let _ = writeln!(out, "\n| rule | nearest to its limit, of any seed |\n| --- | --- |");
    for (name, share) in [
        ("no proxy without a host", worst.bare),
        ("drains kept", worst.drain),
        ("no cold host pushed over", worst.cold),
        ("queue short", worst.queue),
    ] {
        let _ = writeln!(out, "| {name} | {:.0} % |", 100.0 * share);
    }
    let _ = writeln!(out, "| no effect twice | {} effects |", worst.twice);
    for (seed, broken) in experiment.broken() {
        let _ = writeln!(out, "\nBroken with seed {seed}: {}.", broken.join("; "));
    }
}

/// One line a seed, zone and class, for machines.
pub fn csv(experiment: &Experiment) -> String {
    let scenario = &experiment.scenario;
    let mut out = String::from(CSV_HEADER);
    let plain = |text: &str| text.replace([',', '"', '\n', '\r'], " ");
    for (seed, result) in &experiment.runs {
        for (zone, classes) in scenario.settings.zones.iter().zip(&result.counts) {
            for (load, counts) in scenario.classes.iter().zip(classes) {
                let margins = &result.margins;
                let _ = writeln!(
                    out,
                    "{},{seed},{},{},{},{},{},{},{},{},{},{},{},{},{},{}",
                    plain(&scenario.name),
                    plain(&zone.0),
                    plain(&load.name),
                    counts.asked,
                    counts.refused,
                    counts.good,
                    counts.late,
                    counts.lost,
                    result.service(),
                    result.worst_service(),
                    margins.bare,
                    margins.twice,
                    margins.drain,
                    margins.cold,
                    margins.queue
                );
            }
        }
    }
    out
}

/// Service over time: each seed thin, their mean thick.
pub fn chart(experiment: &Experiment) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
        draw_service(&area, experiment).map_err(|error| error.to_string())?;
        area.present().map_err(|error| error.to_string())?;
    }
    Ok(svg)
}

type DrawingError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw_service<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    experiment: &Experiment,
) -> Result<(), DrawingError<'a>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..experiment.scenario.duration.secs(), 0.0..1.05)?;
    chart.configure_mesh().max_light_lines(1).x_desc("s").y_desc("service").draw()?;
    for (_, result) in &experiment.runs {
        let shares = result.windows.iter().map(ServiceWindow::share).collect();
        chart.draw_series(LineSeries::new(window_points(shares), SEED_COLOR))?;
    }
    let windows = experiment.runs.first().map_or(0, |(_, result)| result.windows.len());
    let means = (0..windows).map(|at| experiment.mean(|result| result.windows[at].share()).mean).collect();
    chart.draw_series(LineSeries::new(window_points(means), MEAN_COLOR.stroke_width(3)))?;
    Ok(())
}

/// A point in the middle of each window.
fn window_points(values: Vec<f64>) -> Vec<(f64, f64)> {
    let point = |(at, value): (usize, f64)| ((at as f64 + 0.5) * WINDOW_S, value);
    values.into_iter().enumerate().map(point).collect()
}

/// Writes all of it into a folder.
pub fn write(experiment: &Experiment, folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
    let stem: String = experiment.scenario.name.chars().map(plain).collect();
    let path = |extension: &str| folder.join(format!("{stem}.{extension}"));
    std::fs::write(path("md"), markdown(experiment))?;
    std::fs::write(path("csv"), csv(experiment))?;
    std::fs::write(path("svg"), chart(experiment).map_err(io::Error::other)?)
}
