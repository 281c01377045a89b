//! Measures what one director costs as the fleet grows: processor time, the most expensive call, memory, and
//! the bytes exchanged with each kind of peer.
//!
//! Run with `cargo bench -p wingfold-director --bench ladder`. Time is virtual and events come from a fixed
//! fleet, so only processor time differs from run to run. A ladder is a series of measurements at growing
//! sizes. Options after `--`:
//!
//! - `--quick`: shorter phases
//! - `--steps 16,8,4`: only these steps of the ladder in which all dimensions grow; step 16 is a sixteenth of
//!   the target
//! - `--parts ladder,dimensions,variants,records`: only these parts
//! - `--region-cut SECONDS`: length of the phase in which a region is cut off, for half of the phase
//! - `--json FILE`: also writes all results to a file as JSON

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

/// A part of the measurements.
#[derive(Clone, Copy, PartialEq)]
enum Part {
    /// A ladder in which all dimensions grow together.
    Ladder,
    /// One ladder for each dimension, in which only that dimension grows.
    Dimensions,
    /// Variants of the target, such as other numbers of proxies or load reports.
    Variants,
    /// The size in memory of one record of each kind.
    Records,
}

impl Part {
    /// All parts, with their names on the command line.
    const ALL: [(Part, &'static str); 4] = [
        (Part::Ladder, "ladder"),
        (Part::Dimensions, "dimensions"),
        (Part::Variants, "variants"),
        (Part::Records, "records"),
    ];
}

/// The options of the command line.
struct Options {
    quick: bool,
    parts: Vec<Part>,
    steps: Vec<u32>,
    region_cut: Option<u32>,
    json: Option<String>,
}

impl Options {
    /// Parses the arguments of the command line, to which `cargo bench` adds `--bench`.
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

    /// Lengths of the phases where all of them are measured.
    fn lengths(&self) -> Lengths {
        let lengths = if self.quick { Lengths::QUICK } else { Lengths::FULL };
        Lengths { region_cut: self.region_cut.unwrap_or(lengths.region_cut), ..lengths }
    }

    /// Lengths of the phases where only the start and the steady state are measured.
    fn steady_lengths(&self) -> Lengths {
        if self.quick {
            Lengths::STEADY_QUICK
        } else {
            Lengths::STEADY
        }
    }
}

fn parse_seconds(text: &str) -> Result<u32, String> {
    text.parse().map_err(|_| format!("not a number of seconds: {text}"))
}

fn parse_steps(text: &str) -> Result<Vec<u32>, String> {
    let step = |part: &str| {
        part.parse().ok().filter(|step| *step > 0).ok_or(format!("not a positive denominator: {part}"))
    };
    text.split(',').map(step).collect()
}

fn parse_parts(text: &str) -> Result<Vec<Part>, String> {
    let part = |name: &str| {
        let found = Part::ALL.iter().find(|(_, known)| *known == name);
        found.map(|(part, _)| *part).ok_or_else(|| format!("unknown part: {name}"))
    };
    text.split(',').map(part).collect()
}

fn main() -> Result<(), String> {
    let options = Options::parse(std::env::args().skip(1))?;
    let mut ladders = Vec::new();
    let (mut variants, mut records) = (Vec::new(), None);
    for part in &options.parts {
        match part {
            Part::Ladder => ladders.push(ladder_of_all_dimensions(&options)),
            Part::Dimensions => ladders.extend(ladders_of_single_dimensions(&options)),
            Part::Variants => variants = target_variants(&options),
            Part::Records => records = Some(memory::bytes_by_record(Size::step(4))),
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

/// The ladder in which all dimensions grow together.
fn ladder_of_all_dimensions(options: &Options) -> Ladder {
    let step = |denominator: &u32| {
        let label = if *denominator == 1 { "whole".to_string() } else { format!("1/{denominator}") };
        (1.0 / f64::from(*denominator), measure_size(&label, Size::step(*denominator), options.lengths()))
    };
    Ladder::new("everything together", options.steps.iter().map(step).collect())
}

/// One ladder for each dimension. Only that dimension grows; the others stay at a quarter of the target,
/// except for the rate of load reports, which is that of the target.
fn ladders_of_single_dimensions(options: &Options) -> Vec<Ladder> {
    let base = Size { reports_per_s: TARGET.reports_per_s, ..Size::step(4) };
    let ladder = |dimension: &'static str, values: &[u32], set: fn(&mut Size, u32)| {
        let outcome = |value: &u32| {
            let mut size = base;
            set(&mut size, *value);
            (f64::from(*value), measure_size(&format!("{dimension} {value}"), size, options.steady_lengths()))
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

/// Measurements of the variants of the target.
fn target_variants(options: &Options) -> Vec<Outcome> {
    let variant = |label: &str, size: Size| measure_size(label, size, options.steady_lengths());
    vec![
        variant("7 proxies", Size { proxies: 7, ..TARGET }),
        // With a tenth of the directors, the number of proxies in the whole tier stays the same.
        variant("480 proxies", Size { proxies: 480, directors: TARGET.directors / 10, ..TARGET }),
        variant("48 proxies of one zone", Size { zone_local: true, ..TARGET }),
        variant("crossing zones priced", Size { has_cross_zone_price: true, ..TARGET }),
        variant("2700 sums a second", Size { reports_per_s: TARGET.hosts, ..TARGET }),
        variant("one zone, load by probes", Size { proxies: 2, zones: 1, health_checks: true, ..TARGET }),
    ]
}

/// Runs a director of this size through its phases, and reports the progress on standard error.
fn measure_size(label: &str, size: Size, lengths: Lengths) -> Outcome {
    eprintln!("measuring {label}: {} proxies, {} hosts, {} zones", size.proxies, size.hosts, size.zones);
    run(label, size, lengths)
}
