//! wingfold's own settings: what the platform's configuration does not speak of. One HCL file (deploy/wingfold.hcl
//! shows every key with its default and the reason for it); everything is off where nothing is said.

use crate::hcl::{self, Block, Faults};
use std::path::PathBuf;
use std::time::Duration;

/// How lines of the log look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The `log` block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// How lines look.
    pub form: Form,
    /// Lines of less weight are left out: error, warn, info, debug or trace.
    pub level: &'static str,
}

impl Default for Log {
    fn default() -> Self {
        Log { form: Form::Text, level: "info" }
    }
}

/// Where a capture goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A folder; each director has one of its own below it.
    Folder(PathBuf),
    /// A ring in memory of so many bytes.
    Memory(usize),
}

/// The `capture` block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capture {
    /// Where it goes.
    pub target: Target,
    /// A segment ends with so many bytes.
    pub segment_bytes: u64,
    /// Or after this time.
    pub segment_age: Duration,
    /// Segments that are kept.
    pub keep: usize,
    /// Bytes of them that are kept.
    pub keep_bytes: u64,
    /// Bytes that may wait for the writer.
    pub queue: usize,
    /// Calls are written after this time at the latest.
    pub flush: Duration,
    /// Where a ring is written to when somebody asks or an invariant fails.
    pub dump: Option<PathBuf>,
    /// Who asks must know this.
    pub token: Option<String>,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// The log.
    pub log: Log,
    /// The capture; `None`: off.
    pub capture: Option<Capture>,
}

const MB: u64 = 1 << 20;
const DAY: Duration = Duration::from_secs(86_400);
/// Letters of a token at least: one that can be guessed keeps nobody out.
const TOKEN: usize = 16;

impl Own {
    /// Reads a file's text; `file` is its name in faults.
    pub fn read(file: &str, text: &str) -> Result<Own, Faults> {
        hcl::read(file, text, |top| Own {
            log: top.block("log").map(|block| log(&block)).unwrap_or_default(),
            capture: top.block("capture").and_then(|block| capture(&block)),
        })
    }

    /// Bytes of memory that it takes away from the director's own.
    pub fn memory(&self) -> usize {
        self.capture.as_ref().map_or(0, |capture| {
            capture.queue + if let Target::Memory(bytes) = capture.target { bytes } else { 0 }
        })
    }

    /// Descriptors that it holds open.
    pub fn descriptors(&self) -> usize {
        // The segment, the catalogue, and one while a file is read or replaced.
        if self.capture.is_some() {
            3
        } else {
            0
        }
    }
}

fn log(block: &Block) -> Log {
    let form = match block.word("form", &["text", "json"]) {
        Some("json") => Form::Json,
        _ => Form::Text,
    };
    let level = block.word("level", &["error", "warn", "info", "debug", "trace"]);
    Log { form, level: level.unwrap_or(Log::default().level) }
}

fn capture(block: &Block) -> Option<Capture> {
    let enabled = block.flag("enabled").unwrap_or(false);
    let directory = block.text("directory").map(PathBuf::from);
    let memory = block.whole("memory_mb", 1..=4096);
    let dump = block.text("dump_directory").map(PathBuf::from);
    let token = block.text("dump_token");
    let segment = block.whole("segment_mb", 1..=256);
    let keep_bytes = block.whole("keep_mb", 1..=1 << 20).unwrap_or(1024) * MB;
    let read = Capture {
        segment_bytes: segment.unwrap_or(16) * MB,
        segment_age: block.time("segment_age", Duration::from_secs(1)..=DAY).unwrap_or(DAY / 144),
        keep: block.whole("keep", 2..=100_000).unwrap_or(144) as usize,
        keep_bytes,
        queue: (block.whole("queue_kb", 64..=1 << 20).unwrap_or(4096) << 10) as usize,
        flush: block
            .time("flush", Duration::from_millis(50)..=Duration::from_secs(60))
            .unwrap_or(Duration::from_secs(1)),
        target: match (&directory, memory) {
            (Some(directory), _) => Target::Folder(directory.clone()),
            (None, memory) => Target::Memory((memory.unwrap_or(8) * MB) as usize),
        },
        dump,
        token,
    };
    match (&directory, memory) {
        (Some(_), Some(_)) => {
            block.wrong("`directory` and `memory_mb` exclude each other: on a disk, or in memory")
        }
        (None, None) if enabled => block.wrong("needs `directory` (on a disk) or `memory_mb` (in memory)"),
        _ => {}
    }
    if let Some(token) = read.token.as_ref().filter(|token| token.chars().count() < TOKEN) {
        let has = token.chars().count();
        block.wrong_at("dump_token", None, format!("has {has} letters; {TOKEN} at least keep strangers out"));
    }
    if read.token.is_some() && read.dump.is_none() {
        block.wrong_at(
            "dump_directory",
            None,
            "is missing, though `dump_token` lets somebody ask for a dump",
        );
    }
    if segment.is_some() && read.segment_bytes > read.keep_bytes {
        block.wrong_at("segment_mb", None, "one segment is larger than `keep_mb` lets all of them be");
    }
    // Only whole segments of a ring replay: a quarter each leaves three of them at any time.
    let segment_bytes = match read.target {
        Target::Memory(bytes) => read.segment_bytes.min(bytes as u64 / 4),
        Target::Folder(_) => read.segment_bytes,
    };
    enabled.then_some(Capture { segment_bytes, ..read })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_said_is_everything_off() {
        assert_eq!(Own::read("f", "").unwrap(), Own::default());
        let off = Own::read("f", "capture {\n enabled = false\n directory = \"/d\"\n}\n").unwrap();
        assert_eq!((off.capture, off.log), (None, Log::default()));
    }

    #[test]
    fn the_file_that_is_shipped_is_read_and_switches_nothing_on() {
        let text = include_str!("../../../deploy/wingfold.hcl");
        assert_eq!(Own::read("deploy/wingfold.hcl", text).unwrap(), Own::default());
        // Every key in it, switched on, is one that is known.
        let on: String = text
            .lines()
            .map(|line| {
                line.strip_prefix("  # ")
                    .filter(|l| l.contains(" = "))
                    .map_or(line.to_string(), |l| format!("  {l}"))
                    + "\n"
            })
            .collect();
        let on = on.replace("enabled = false", "enabled = true").replace("  memory_mb", "  # memory_mb");
        let own = Own::read("on", &on).unwrap();
        let capture = own.capture.unwrap();
        assert_eq!(capture.target, Target::Folder("/var/lib/wingfold/capture".into()));
        assert_eq!((capture.keep, capture.keep_bytes, capture.queue), (144, 1 << 30, 4 << 20));
    }

    #[test]
    fn all_faults_are_told_at_once_with_their_places() {
        let text = "log {\n  form = \"xml\"\n  levle = \"info\"\n}\ncapture {\n  enabled = 1\n  keep = 1\n  flush = \"2h\"\n  \
                    segment_mb = 3.5\n}\ncaptrue {\n  x = 1\n}\n";
        let faults = Own::read("w.hcl", text).unwrap_err().to_string();
        let expected = [
            "w.hcl:2:3: key `log.form`: one of \"text\", \"json\" is expected, `\"xml\"` was found",
            "w.hcl:3:3: key `log.levle`: is not known; did you mean `level`?",
            "w.hcl:6:3: key `capture.enabled`: true or false is expected, `1` was found",
            "w.hcl:7:3: key `capture.keep`: a whole number from 2 to 100000 is expected, `1` was found",
            "w.hcl:8:3: key `capture.flush`: a time from \"50ms\" to \"1m\", such as \"250ms\", \"10s\" or \"5m\" is \
             expected, `\"2h\"` was found",
            "w.hcl:9:3: key `capture.segment_mb`: a whole number from 1 to 256 is expected, `3.5` was found",
            "w.hcl:11:1: key `captrue`: is not known; did you mean `capture`?",
        ];
        assert_eq!(faults.lines().collect::<Vec<_>>(), expected);
    }

    #[test]
    fn what_contradicts_itself_is_told_by_its_block() {
        let told = |body: &str| Own::read("f", &format!("capture {{\n{body}\n}}\n")).unwrap_err().to_string();
        assert!(told("enabled = true").contains("needs `directory`"));
        assert!(told("directory = \"/d\"\nmemory_mb = 8").contains("exclude each other"));
        assert!(told("dump_token = \"short\"\ndump_directory = \"/d\"").contains("16 at least"));
        assert!(told("dump_token = \"0123456789abcdef\"").contains("key `capture.dump_directory`"));
        assert!(told("keep = 5\nkeep = 6").starts_with("f:3:1: "), "a key that stands twice");
        let whole = |text: &str| Own::read("f", text).unwrap_err().to_string();
        assert!(whole("capture {\n").starts_with("f:1:11: "), "cut short: {}", whole("capture {\n"));
        assert_eq!(whole("log {}\nlog {}\n"), "f:2:1: key `log`: stands twice");
    }

    #[test]
    fn a_ring_counts_as_memory_and_holds_several_segments() {
        let own =
            Own::read("f", "capture {\n enabled = true\n memory_mb = 8\n queue_kb = 1024\n}\n").unwrap();
        assert_eq!(own.memory(), 9 << 20);
        assert_eq!(own.capture.unwrap().segment_bytes, 2 << 20);
    }
}
