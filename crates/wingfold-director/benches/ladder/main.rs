//! What one director costs as the fleet grows: processor time, the most expensive call, memory, and bytes by peer.
//!
//! Run with `cargo bench -p wingfold-director --bench ladder`. Time is virtual and events come from a fixed fleet, so
//! only processor time differs from run to run. Options after `--`:
//!
//! - `--quick`: fewer seconds in each phase
//! - `--steps 16,8,4`: only these steps of the ladder, as denominators of the target
//! - `--parts ladder,dimensions,variants,records`: only these parts
//! - `--region-cut SECONDS`: length of the phase with a cut region; half of it the region is cut off
//! - `--json FILE`: everything as JSON as well

mod fit;
mod fleet;
mod measure;
mod memory;
mod output;
mod scenario;
mod sizes;
mod traffic;

use output::{Ladder, Report};
use scenario::{run, Lengths, Outcome};
use sizes::{Size, STEPS, TARGET};

/// A part of the measurement.
#[derive(Clone, Copy, PartialEq)]
enum Part {
    /// Everything grows together.
    Ladder,
    /// One dimension grows.
    Dimensions,
    /// The target under other readings.
    Variants,
    /// Bytes of one record of each kind.
    Records,
}

impl Part {
    const ALL: [(Part, &'static str); 4] = [
        (Part::Ladder, "ladder"),
        (Part::Dimensions, "dimensions"),
        (Part::Variants, "variants"),
        (Part::Records, "records"),
    ];
}

/// What the command line asks for.
struct Options {
    quick: bool,
    parts: Vec<Part>,
    steps: Vec<u32>,
    region_cut: Option<u32>,
    json: Option<String>,
}

impl Options {
    /// Reads the command line; `cargo bench` adds `--bench`.
    fn parse(mut arguments: impl Iterator<Item = String>) -> Result<Options, String> {
        let mut options = Options {
            quick: false,
            parts: Part::ALL.map(|part| part.0).to_vec(),
            steps: STEPS.to_vec(),
            region_cut: None,
            json: None,
        };
        while let Some(argument) = arguments.next() {
            let mut value = || arguments.next().ok_or(format!("{argument} needs a value"));
            match argument.as_str() {
                "--bench" => {}
                "--quick" => options.quick = true,
                "--parts" => options.parts = parse_parts(&value()?)?,
                "--json" => options.json = Some(value()?),
                "--region-cut" => options.region_cut = Some(parse_seconds(&value()?)?),
                "--steps" => options.steps = parse_steps(&value()?)?,
                _ => return Err(format!("unknown option {argument}")),
            }
        }
        Ok(options)
    }

    fn lengths(&self) -> Lengths {
        let lengths = if self.quick { Lengths::QUICK } else { Lengths::FULL };
        Lengths { region_cut: self.region_cut.unwrap_or(lengths.region_cut), ..lengths }
    }

    fn steady(&self) -> Lengths {
        if self.quick {
            Lengths::STEADY_QUICK
        } else {
            Lengths::STEADY
        }
    }
}

fn parse_seconds(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| format!("no number of seconds: {text}"))
}

fn parse_steps(text: &str) -> Result<Vec<u32>, String> {
    let step = |part: &str| part.parse().ok().filter(|step| *step > 0).ok_or(format!("no step: {part}"));
    text.split(',').map(step).collect()
}

fn parse_parts(text: &str) -> Result<Vec<Part>, String> {
    let part = |name: &str| {
        let found = Part::ALL.iter().find(|(_, known)| *known == name);
        found.map(|(part, _)| *part).ok_or_else(|| format!("no part: {name}"))
    };
    text.split(',').map(part).collect()
}

fn main() -> Result<(), String> {
    let options = Options::parse(std::env::args().skip(1))?;
    let mut ladders = Vec::new();
    let (mut variants, mut records) = (Vec::new(), None);
    for part in &options.parts {
        match part {
            Part::Ladder => ladders.push(everything(&options)),
            Part::Dimensions => ladders.extend(single_dimensions(&options)),
            Part::Variants => variants = target_variants(&options),
            Part::Records => records = Some(memory::by_record(Size::step(4))),
        }
    }
    let report = Report { lengths: options.lengths(), ladders, variants, records };
    report.print();
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&report).map_err(|error| error.to_string())?;
        std::fs::write(path, json).map_err(|error| format!("{path}: {error}"))?;
    }
    Ok(())
}

/// Everything grows together.
fn everything(options: &Options) -> Ladder {
    let step = |denominator: &u32| {
        let label = if *denominator == 1 { "whole".to_string() } else { format!("1/{denominator}") };
        (1.0 / f64::from(*denominator), measured(&label, Size::step(*denominator), options.lengths()))
    };
    Ladder::new("everything together", options.steps.iter().map(step).collect())
}

/// One dimension grows while the others stay at a quarter of the target.
fn single_dimensions(options: &Options) -> Vec<Ladder> {
    let base = Size { reports_per_s: TARGET.reports_per_s, ..Size::step(4) };
    let ladder = |dimension: &'static str, values: &[u32], set: fn(&mut Size, u32)| {
        let outcome = |value: &u32| {
            let mut size = base;
            set(&mut size, *value);
            (f64::from(*value), measured(&format!("{dimension} {value}"), size, options.steady()))
        };
        Ladder::new(dimension, values.iter().map(outcome).collect())
    };
    vec![
        ladder("proxies", &[3, 12, 48, 192], |size, value| size.proxies = value),
        ladder("hosts", &[169, 338, 675, 1350, 2700], |size, value| size.hosts = value),
        ladder("zones", &[2, 4, 8, 15, 30], |size, value| size.zones = value),
        ladder("classes", &[2, 8, 32, 64], |size, value| size.classes = value),
        ladder("groups of classes", &[1, 2, 4], |size, value| {
            (size.classes, size.class_groups) = (4, value);
        }),
        ladder("sums a second", &[50, 200, 800], |size, value| size.reports_per_s = value),
    ]
}

/// The target under other readings of it.
fn target_variants(options: &Options) -> Vec<Outcome> {
    let variant = |label: &str, size: Size| measured(label, size, options.steady());
    vec![
        variant("7 proxies", Size { proxies: 7, ..TARGET }),
        // A tenth of the directors, so that the proxies of the whole tier stay as many.
        variant("480 proxies", Size { proxies: 480, directors: TARGET.directors / 10, ..TARGET }),
        variant("48 proxies of one zone", Size { zone_local: true, ..TARGET }),
        variant("crossing zones priced", Size { has_cross_zone_price: true, ..TARGET }),
        variant("2700 sums a second", Size { reports_per_s: TARGET.hosts, ..TARGET }),
        variant("one zone, load by probes", Size { proxies: 2, zones: 1, health_checks: true, ..TARGET }),
    ]
}

fn measured(label: &str, size: Size, lengths: Lengths) -> Outcome {
    eprintln!("measuring {label}: {} proxies, {} hosts, {} zones", size.proxies, size.hosts, size.zones);
    run(label, size, lengths)
}
