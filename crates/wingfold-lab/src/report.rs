//! An experiment as tables (Markdown and CSV) and a chart (SVG).

use crate::experiment::{Experiment, Mean};
use crate::results::WINDOW_S;
use plotters::prelude::*;
use std::fmt::Write;
use std::io;
use std::path::Path;

fn figure(mean: Mean) -> String {
    match mean.off.is_finite() {
        true => format!("{:.4} ± {:.4}", mean.mean, mean.off),
        false => format!("{:.4}", mean.mean),
    }
}

/// The tables for people.
pub fn markdown(experiment: &Experiment) -> String {
    let (plan, mut out) = (&experiment.scenario, String::new());
    let seeds: Vec<String> = experiment.runs.iter().map(|(seed, _)| seed.to_string()).collect();
    let hosts: usize = plan.kinds.iter().map(|kind| kind.count).sum();
    let _ = writeln!(out, "# {}\n\n{}\n", plan.name, plan.about);
    let _ = writeln!(
        out,
        "{} directors, {} proxies, {hosts} hosts, {:.0} requests/s, {:.0} s of virtual time; seeds {}.\n",
        plan.settings.directors,
        plan.settings.proxies,
        plan.rate,
        plan.length.secs(),
        seeds.join(", ")
    );
    let _ = writeln!(out, "| figure | mean, 95 % interval | median |\n| --- | --- | --- |");
    let figures = [
        ("service (worth in time / worth asked)", experiment.mean(|p| p.service())),
        ("service in the worst 10 s", experiment.mean(|p| p.worst())),
        ("messages", experiment.mean(|p| p.messages as f64)),
        ("lines", experiment.mean(|p| p.lines as f64)),
        ("second tries", experiment.mean(|p| p.retries as f64)),
        ("requests that crossed zones", experiment.mean(|p| p.crossed as f64)),
    ];
    for (name, mean) in figures {
        let _ = writeln!(out, "| {name} | {} | {:.4} |", figure(mean), mean.median);
    }
    let _ = writeln!(out, "\n| class | asked | turned away | in time | late | lost | p50 ms | p99 ms |");
    let _ = writeln!(out, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (at, load) in plan.loads.iter().enumerate() {
        let (served, times) = (experiment.class(at), experiment.times(at));
        let ms = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} | {} | {} | {:.0} | {:.0} |",
            load.name,
            served.asked,
            served.refused,
            served.good,
            served.late,
            served.lost,
            ms(0.5),
            ms(0.99)
        );
    }
    let worst = experiment.margins();
    let _ = writeln!(out, "\n| rule | nearest to its limit, of any seed |\n| --- | --- |");
    for (name, part) in [
        ("no proxy without a host", worst.bare),
        ("drains kept", worst.drain),
        ("no cold host pushed over", worst.cold),
        ("queue short", worst.queue),
    ] {
        let _ = writeln!(out, "| {name} | {:.0} % |", 100.0 * part);
    }
    let _ = writeln!(out, "| no effect twice | {} effects |", worst.twice);
    for (seed, what) in experiment.broken() {
        let _ = writeln!(out, "\nBroken with seed {seed}: {}.", what.join("; "));
    }
    out
}

/// One line a seed, zone and class, for machines.
pub fn csv(experiment: &Experiment) -> String {
    let plan = &experiment.scenario;
    let mut out = String::from("scenario,seed,zone,class,asked,refused,good,late,lost,service,worst_10s,bare,twice,drain,cold,queue\n");
    let plain = |text: &str| text.replace([',', '"', '\n', '\r'], " ");
    for (seed, played) in &experiment.runs {
        for (zone, classes) in plan.settings.zones.iter().zip(&played.served) {
            for (load, s) in plan.loads.iter().zip(classes) {
                let m = &played.margins;
                let _ = writeln!(
                    out,
                    "{},{seed},{},{},{},{},{},{},{},{},{},{},{},{},{},{}",
                    plain(&plan.name),
                    plain(&zone.0),
                    plain(&load.name),
                    s.asked,
                    s.refused,
                    s.good,
                    s.late,
                    s.lost,
                    played.service(),
                    played.worst(),
                    m.bare,
                    m.twice,
                    m.drain,
                    m.cold,
                    m.queue
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
        let area = SVGBackend::with_string(&mut svg, (900, 360)).into_drawing_area();
        let wrong = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|e| wrong(&e))?;
        let length = experiment.scenario.length.secs();
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..length, 0.0..1.05)
            .map_err(|e| wrong(&e))?;
        chart
            .configure_mesh()
            .max_light_lines(1)
            .x_desc("s")
            .y_desc("service")
            .draw()
            .map_err(|e| wrong(&e))?;
        let share = |(asked, good): &(f64, f64)| if *asked > 0.0 { good / asked } else { 1.0 };
        let points = |windows: Vec<f64>| {
            windows
                .into_iter()
                .enumerate()
                .map(|(at, value)| ((at as f64 + 0.5) * WINDOW_S, value))
                .collect::<Vec<_>>()
        };
        for (_, played) in &experiment.runs {
            let line = points(played.windows.iter().map(share).collect());
            chart.draw_series(LineSeries::new(line, RGBColor(190, 200, 215))).map_err(|e| wrong(&e))?;
        }
        let windows = experiment.runs.first().map_or(0, |(_, played)| played.windows.len());
        let mean = (0..windows).map(|at| experiment.mean(|played| share(&played.windows[at])).mean).collect();
        let style = RGBColor(20, 60, 130).stroke_width(3);
        chart.draw_series(LineSeries::new(points(mean), style)).map_err(|e| wrong(&e))?;
        area.present().map_err(|e| wrong(&e))?;
    }
    Ok(svg)
}

/// Writes all of it into a folder.
pub fn write(experiment: &Experiment, folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let name = |ending: &str| {
        let plain = |c: char| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' };
        folder.join(format!("{}.{ending}", experiment.scenario.name.chars().map(plain).collect::<String>()))
    };
    std::fs::write(name("md"), markdown(experiment))?;
    std::fs::write(name("csv"), csv(experiment))?;
    std::fs::write(name("svg"), chart(experiment).map_err(io::Error::other)?)
}
