//! wingfold's own settings: what the platform's configuration does not speak of. One HCL file (deploy/wingfold.hcl
//! shows every key with its default and the reason for it); everything is off where nothing is said.

use crate::hcl::{self, Block, Faults};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use wingfold_figures::collectd::{MappedHost, Secrecy, Users, PACKET};
use wingfold_figures::receiver::Rules;

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

/// How Graphite takes figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Lines over TCP.
    Plain,
    /// Pickled lists over TCP.
    Pickle,
    /// Lines over UDP.
    Udp,
}

/// Who of several receivers gets what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deal {
    /// All of them everything.
    All,
    /// Each name one of them, by consistent hashing.
    Hash,
}

/// A `graphite` block.
#[derive(Clone, Debug, PartialEq)]
pub struct Graphite {
    /// Its name.
    pub name: String,
    /// Receivers, `host:port` each.
    pub addresses: Vec<String>,
    /// How they take figures.
    pub protocol: Protocol,
    /// Who gets what.
    pub deal: Deal,
    /// Labels as tags.
    pub tags: bool,
    /// What every path begins with.
    pub prefix: String,
    /// Queue, times and pauses.
    pub rules: Rules,
    /// A receiver that was lost gets its names back after it was well for so long.
    pub settle: Duration,
}

/// A `collectd` block.
#[derive(Clone, Debug, PartialEq)]
pub struct Collectd {
    /// Its name.
    pub name: String,
    /// `host:port`.
    pub address: String,
    /// Bytes of a packet.
    pub packet: usize,
    /// How packets are secured.
    pub secrecy: Secrecy,
    /// Queue, times and pauses.
    pub rules: Rules,
}

/// A `collectd_in` block.
#[derive(Clone, Debug, PartialEq)]
pub struct CollectdIn {
    /// Where packets arrive.
    pub listen: SocketAddr,
    /// Packets must be signed or encrypted.
    pub secured: bool,
    /// Who may send.
    pub users: Users,
    /// Machines of collectd, and the hosts they are.
    pub map: BTreeMap<String, MappedHost>,
}

/// All receivers: what a reload may change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sinks {
    /// The `graphite` blocks.
    pub graphite: Vec<Graphite>,
    /// The `collectd` blocks.
    pub collectd: Vec<Collectd>,
}

/// The `figures` block, and all that figures go to.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Length of an interval.
    pub interval: Duration,
    /// The slowest and the failed of each stage are kept.
    pub causes: bool,
    /// Receivers.
    pub sinks: Sinks,
    /// Loads taken in.
    pub intake: Option<CollectdIn>,
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// The log.
    pub log: Log,
    /// The capture; `None`: off.
    pub capture: Option<Capture>,
    /// Figures; `None`: off.
    pub figures: Option<Figures>,
}

const MB: u64 = 1 << 20;
const DAY: Duration = Duration::from_secs(86_400);
/// Letters of a token at least: one that can be guessed keeps nobody out.
const TOKEN: usize = 16;

impl Own {
    /// Reads a file's text; `file` is its name in faults.
    pub fn read(file: &str, text: &str) -> Result<Own, Faults> {
        Own::read_with(file, text, secret)
    }

    /// The same; `secret` reads the files of keys that it names.
    pub fn read_with(
        file: &str,
        text: &str,
        secret: impl Fn(&str) -> Result<String, String>,
    ) -> Result<Own, Faults> {
        hcl::read(file, text, |top| Own {
            log: top.block("log").map(|block| log(&block)).unwrap_or_default(),
            capture: top.block("capture").and_then(|block| capture(&block)),
            figures: figures(top, &secret),
        })
    }

    /// The keys that differ in `new` and take effect at a restart only.
    pub fn needs_restart(&self, new: &Own) -> Vec<&'static str> {
        let rest =
            |own: &Own| own.figures.clone().map(|figures| Figures { sinks: Sinks::default(), ..figures });
        let differs = [
            ("log", self.log != new.log),
            ("capture", self.capture != new.capture),
            ("figures", rest(self) != rest(new)),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// Bytes of memory that it takes away from the director's own.
    pub fn memory(&self) -> usize {
        let capture = self.capture.as_ref().map_or(0, |capture| {
            capture.queue + if let Target::Memory(bytes) = capture.target { bytes } else { 0 }
        });
        let sinks = self.figures.as_ref().map(|figures| &figures.sinks);
        let graphite = sinks.into_iter().flat_map(|sinks| &sinks.graphite);
        let graphite: usize = graphite.map(|one| one.rules.most * one.addresses.len()).sum();
        let collectd: usize =
            sinks.into_iter().flat_map(|sinks| &sinks.collectd).map(|one| one.rules.most).sum();
        capture + graphite + collectd
    }

    /// Descriptors that it holds open.
    pub fn descriptors(&self) -> usize {
        // The segment, the catalogue, and one while a file is read or replaced.
        let capture = if self.capture.is_some() { 3 } else { 0 };
        // A connection each, and the one after it while that is made.
        let sinks = self.figures.as_ref().map_or(0, |figures| {
            let graphite: usize = figures.sinks.graphite.iter().map(|one| one.addresses.len()).sum();
            2 * graphite + figures.sinks.collectd.len() + usize::from(figures.intake.is_some())
        });
        capture + sinks
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

/// Reads a file of keys, which nobody else may read.
fn secret(path: &str) -> Result<String, String> {
    use std::os::unix::fs::PermissionsExt;
    let data = std::fs::metadata(path).map_err(|problem| format!("`{path}`: {problem}"))?;
    let mode = data.permissions().mode() & 0o777;
    if mode & 0o077 != 0 {
        return Err(format!("`{path}` may be read by others (mode {mode:o}); make it 600"));
    }
    std::fs::read_to_string(path).map_err(|problem| format!("`{path}`: {problem}"))
}

fn figures(top: &Block, secret: &impl Fn(&str) -> Result<String, String>) -> Option<Figures> {
    let block = top.block("figures");
    let block = block.as_ref();
    let on = block.is_some_and(|block| block.flag("enabled") == Some(true));
    let second = Duration::from_secs(1);
    let interval =
        block.and_then(|block| block.time("interval", second..=60 * second)).unwrap_or(10 * second);
    if interval.subsec_nanos() != 0 {
        top.wrong("`figures.interval` is of whole seconds: receivers take no finer time");
    }
    let causes = block.and_then(|block| block.flag("causes")).unwrap_or(false);
    let prefix = block.and_then(|block| block.text("prefix")).unwrap_or_else(|| "wingfold".into());
    let sound = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if let Some(block) = block
        .filter(|_| !prefix.chars().all(sound) || prefix.split('.').any(str::is_empty) && !prefix.is_empty())
    {
        block.wrong_at("prefix", None, "letters, digits, `-`, `_` and single dots between them are expected");
    }
    let graphite: Vec<Graphite> =
        top.blocks("graphite").iter().map(|block| graphite(block, &prefix, interval)).collect();
    let collectd: Vec<Collectd> =
        top.blocks("collectd").iter().map(|block| collectd(block, interval, secret)).collect();
    let intake = top.block("collectd_in").and_then(|block| collectd_in(&block, secret));
    let names: Vec<&String> =
        graphite.iter().map(|one| &one.name).chain(collectd.iter().map(|one| &one.name)).collect();
    if let Some(name) = (1..names.len())
        .map(|at| names[at])
        .find(|name| names.iter().filter(|other| other == &name).count() > 1)
    {
        top.wrong(format!("two receivers are called `{name}`: figures tell them apart by that"));
    }
    on.then_some(Figures { interval, causes, sinks: Sinks { graphite, collectd }, intake })
}

/// An address as `host:port`; the host may be a name.
fn address(block: &Block, name: &'static str, text: &str) {
    let port = text
        .rsplit_once(':')
        .filter(|(host, _)| !host.is_empty())
        .and_then(|(_, port)| port.parse::<u16>().ok());
    if port.is_none_or(|port| port == 0) {
        block.wrong_at(
            name,
            None,
            format!("`{text}` is no address with a port, like 10.0.0.9:2003 or graphite.example:2003"),
        );
    }
}

fn rules(block: &Block, interval: Duration) -> Rules {
    let micros = |time: Duration| wingfold_director::interface::Micros(time.as_micros() as u64);
    let (tenth, hour) = (Duration::from_millis(100), Duration::from_secs(3600));
    let time = |name, or: Duration| micros(block.time(name, tenth..=hour).unwrap_or(or));
    let usual = Rules::default();
    Rules {
        most: (block.whole("queue_kb", 16..=1 << 20).unwrap_or(1024) << 10) as usize,
        connect: time("connect_timeout", Duration::from_secs(2)),
        // What one interval takes longer than to be made piles up.
        write: time("write_timeout", interval),
        pause: time("retry_first", Duration::from_micros(usual.pause.0)),
        longest: time("retry_longest", Duration::from_micros(usual.longest.0)),
    }
}

fn graphite(block: &Block, prefix: &str, interval: Duration) -> Graphite {
    let addresses = block.need("addresses", block.texts("addresses"), Vec::new());
    if addresses.is_empty() {
        block.wrong_at("addresses", None, "names at least one receiver");
    }
    addresses.iter().for_each(|text| address(block, "addresses", text));
    if (1..addresses.len()).any(|at| addresses[..at].contains(&addresses[at])) {
        block.wrong_at("addresses", None, "names a receiver twice");
    }
    let protocol = match block.word("protocol", &["plain", "pickle", "udp"]) {
        Some("pickle") => Protocol::Pickle,
        Some("udp") => Protocol::Udp,
        _ => Protocol::Plain,
    };
    let deal = match block.word("deal", &["all", "hash"]) {
        Some("hash") => Deal::Hash,
        _ => Deal::All,
    };
    Graphite {
        name: block.label.clone().unwrap_or_else(|| "graphite".into()),
        addresses,
        protocol,
        deal,
        tags: block.flag("tags").unwrap_or(false),
        prefix: prefix.into(),
        rules: rules(block, interval),
        settle: block
            .time("settle", Duration::ZERO..=Duration::from_secs(3600))
            .unwrap_or(Duration::from_secs(60)),
    }
}

fn collectd(block: &Block, interval: Duration, secret: &impl Fn(&str) -> Result<String, String>) -> Collectd {
    let place = block.need("address", block.text("address"), "unset:1".into());
    address(block, "address", &place);
    let security = block.word("security", &["none", "sign", "encrypt"]).unwrap_or("none");
    let (user, file) = (block.text("user"), block.text("keys"));
    let secrecy = match (security, user, file) {
        ("none", None, None) => Secrecy::Plain,
        ("none", ..) => {
            block.wrong("`user` and `keys` are given, and `security` is none: nothing would be secured");
            Secrecy::Plain
        }
        (_, Some(user), Some(file)) => {
            let key = keys(block, &file, secret).and_then(|users| {
                let key = users.key(&user).map(str::to_string);
                if key.is_none() {
                    block.wrong_at("keys", None, format!("`{file}` has no key of `{user}`"));
                }
                key
            });
            let key = key.unwrap_or_default();
            if security == "sign" {
                Secrecy::Signed(user, key)
            } else {
                Secrecy::Encrypted(user, key)
            }
        }
        _ => {
            block.wrong(format!("`security` is {security}: `user` and `keys` (a file) are needed"));
            Secrecy::Plain
        }
    };
    Collectd {
        name: block.label.clone().unwrap_or_else(|| "collectd".into()),
        address: place,
        packet: block.whole("packet", 512..=65_000).unwrap_or(PACKET as u64) as usize,
        secrecy,
        rules: rules(block, interval),
    }
}

fn keys(block: &Block, file: &str, secret: &impl Fn(&str) -> Result<String, String>) -> Option<Users> {
    let text = secret(file).map_err(|problem| block.wrong_at("keys", None, problem)).ok()?;
    let told = |line: usize| {
        block.wrong_at(
            "keys",
            None,
            format!("`{file}`, line {line}: `user: key` is expected, each user once"),
        )
    };
    Users::read(&text).map_err(told).ok()
}

fn collectd_in(block: &Block, secret: &impl Fn(&str) -> Result<String, String>) -> Option<CollectdIn> {
    let enabled = block.flag("enabled").unwrap_or(false);
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 25826));
    let listen = block.text("listen").map(|text| {
        let read = text.parse();
        if read.is_err() {
            block.wrong_at(
                "listen",
                None,
                format!("`{text}` is no address with a port, like 10.0.0.4:25826"),
            );
        }
        read.unwrap_or(nowhere)
    });
    let secured = block.word("security", &["none", "required"]) != Some("none");
    let users = block.text("keys").and_then(|file| keys(block, &file, secret));
    let mut map = BTreeMap::new();
    for host in block.blocks("host") {
        let is = host.need("is", host.text("is"), String::new());
        let cores = host.need("cores", host.number("cores", 0.01..=4096.0), 1.0);
        let machine = host.label.clone().unwrap_or_default();
        if machine.is_empty() {
            host.wrong("needs collectd's name of the machine: host \"db1\" { .. }");
        }
        map.insert(machine, MappedHost { host: is, cores });
    }
    if enabled {
        if listen.is_none() {
            block.wrong_at("listen", None, "is missing");
        }
        if secured && users.is_none() {
            block.wrong("`security` is required: `keys` (a file of `user: key` lines) is needed, or `security = \"none\"`");
        }
        if map.is_empty() {
            block.wrong("maps no machine to a host: nothing it hears could be used");
        }
    }
    let users = users.unwrap_or_default();
    enabled.then_some(CollectdIn { listen: listen.unwrap_or(nowhere), secured, users, map })
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
        let types = include_str!("../../../deploy/wingfold.types.db");
        assert_eq!(types, wingfold_figures::collectd::TYPES_DB);
        assert_eq!(Own::read("deploy/wingfold.hcl", text).unwrap(), Own::default());
        // Every key in it, switched on, is one that is known.
        let on = |line: &str| {
            let block = |text: &str| text.starts_with("  ") || text == "}" || text.ends_with('{');
            let key =
                line.strip_prefix("  # ").filter(|key| key.contains(" = ")).map(|key| format!("  {key}"));
            let key = key.or(line.strip_prefix("# ").filter(|text| block(text)).map(str::to_string));
            key.unwrap_or(line.to_string()) + "\n"
        };
        let text: String = text.lines().map(on).collect();
        let text = text.replace("enabled = false", "enabled = true").replace("  memory_mb", "  # memory_mb");
        let text = text.replace("security = \"none\"", "security = \"sign\"");
        let own = Own::read_with("on", &text, |_| Ok("wingfold: a key".into()))
            .unwrap_or_else(|faults| panic!("{faults}"));
        let figures = own.figures.as_ref().unwrap();
        assert_eq!((figures.sinks.graphite.len(), figures.sinks.collectd.len()), (1, 1));
        assert_eq!(
            figures.sinks.graphite[0].rules,
            Rules::default(),
            "the defaults that are shown are the real ones"
        );
        assert!(figures.intake.is_some());
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
    fn receivers_are_read_with_their_keys_and_count_as_memory_and_descriptors() {
        let text = "figures {\n  enabled = true\n  interval = \"5s\"\n}\ngraphite \"halls\" {\n  addresses = [\"10.0.0.9:2003\", \
                    \"g.example:2003\"]\n  deal = \"hash\"\n  protocol = \"pickle\"\n  queue_kb = 512\n}\ncollectd \"all\" {\n  \
                    address = \"10.0.0.8:25826\"\n  security = \"encrypt\"\n  user = \"lines\"\n  keys = \"k\"\n}\ncollectd_in {\n  enabled = true\n  \
                    listen = \"10.0.0.4:25826\"\n  keys = \"k\"\n  host \"db1\" {\n    is = \"s-1\"\n    cores = 3\n  }\n}\n";
        let secret =
            |path: &str| if path == "k" { Ok("lines: a long key".to_string()) } else { Err("no".into()) };
        let own = Own::read_with("f", text, secret).unwrap();
        let figures = own.figures.clone().unwrap();
        assert_eq!(figures.sinks.graphite[0].rules.write.0, 5_000_000, "an interval's length");
        assert_eq!(
            figures.sinks.collectd[0].secrecy,
            Secrecy::Encrypted("lines".into(), "a long key".into())
        );
        assert_eq!(
            figures.intake.as_ref().unwrap().map["db1"],
            MappedHost { host: "s-1".into(), cores: 3.0 }
        );
        assert_eq!((own.memory(), own.descriptors()), (2 << 20, 6));
        let other = Own::read_with("f", &text.replace("10.0.0.8", "10.0.0.7"), secret).unwrap();
        assert_eq!(own.needs_restart(&other), Vec::<&str>::new(), "receivers change while it runs");
        let other = Own::read_with("f", &text.replace("\"5s\"", "\"6s\""), secret).unwrap();
        assert_eq!(own.needs_restart(&other), ["figures"]);
        let wrong = |from: &str, to: &str| {
            Own::read_with("f", &text.replace(from, to), secret).unwrap_err().to_string()
        };
        assert!(wrong("g.example:2003", "g.example").contains("`g.example` is no address with a port"));
        assert!(wrong("\"g.example:2003\"", "\"10.0.0.9:2003\"").contains("names a receiver twice"));
        assert!(wrong("user = \"lines\"", "user = \"nobody\"").contains("`k` has no key of `nobody`"));
        assert!(wrong("keys = \"k\"", "keys = \"x\"").contains("key `collectd[all].keys`: no"));
        assert!(wrong("security = \"encrypt\"", "security = \"none\"").contains("nothing would be secured"));
        assert!(wrong("is = \"s-1\"", "").contains("key `collectd_in.host[db1].is`: is missing"));
        assert!(wrong("\"all\"", "\"halls\"").contains("two receivers are called `halls`"));
        assert!(wrong("\"5s\"", "\"1500ms\"").contains("whole seconds"));
    }

    #[test]
    fn keys_that_others_may_read_are_refused() {
        use std::os::unix::fs::PermissionsExt;
        let path = std::env::temp_dir().join(format!("wingfold-keys-{}", std::process::id()));
        std::fs::write(&path, "u: a key\n").unwrap();
        let with = |mode: u32| {
            std::fs::set_permissions(&path, std::fs::Permissions::from_mode(mode)).unwrap();
            secret(path.to_str().unwrap())
        };
        assert!(with(0o644).unwrap_err().contains("may be read by others (mode 644)"));
        assert!(with(0o640).is_err());
        assert_eq!(with(0o600).unwrap(), "u: a key\n");
        std::fs::remove_file(&path).unwrap();
        assert!(secret(path.to_str().unwrap()).is_err());
    }

    #[test]
    fn a_ring_counts_as_memory_and_holds_several_segments() {
        let own =
            Own::read("f", "capture {\n enabled = true\n memory_mb = 8\n queue_kb = 1024\n}\n").unwrap();
        assert_eq!(own.memory(), 9 << 20);
        assert_eq!(own.capture.unwrap().segment_bytes, 2 << 20);
    }
}
