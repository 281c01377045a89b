//! Every decision of a wingfold director. What goes in and out is defined in `interface.rs`.
//!
//! Ordinary tables follow the Best Exit Selection Design (docs/design.md): each zone of proxies is an owner
//! that scores every host by heard latency and loss; the leading group keeps its listed weight and laggards
//! halve, step by step. All else answers cases that the design leaves open.
use crate::interface::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

// ---- 1. Constants ----------------------------------------------------------------------------------------
/// Score of one percent of loss, in ms; smallest margin in ms, and its share of the score (design page).
const LOSS_MS: f64 = 100.0;
const MARGIN_MS: f64 = 20.0;
const MARGIN_SHARE: f64 = 0.15;
/// Times well inside the tightest aim earn alike: this share of it counts as margin too.
const AIM_MARGIN: f64 = 0.1;
/// Rounds in a row that confirm a move, shortest round and owner's cooldown in seconds, and how often a
/// laggard halves: down to a quarter (design page).
const CONFIRM: u32 = 3;
const ROUND_S: f64 = 2.0;
pub(crate) const COOLDOWN_S: f64 = 8.0;
const LOWEST_STEP: u32 = 2;
/// Fresh tries that make a figure; a zone's own tries weigh against all zones' mean as if that had PRIOR.
const ENOUGH: f64 = 6.0;
const PRIOR: f64 = 6.0;
/// The group must hold this share of the listed weight: one server cannot carry a zone.
const GROUP_SHARE: f64 = 0.5;
/// Half-life of the evidence of the fast path, which must span a round of sums.
const HALF_LIFE_S: f64 = 2.0;
/// Losses in a row that take a host out, and the chance, at the loss usual in its zone, under which a longer
/// row counts: a host that still answers is the ranking's affair, and what all hosts lose is overload.
const OUT_LOST: f64 = 3.0;
const OUT_CHANCE: f64 = 1e-3;
/// Share of the hosts that must have been heard of for a loss to be common; SAMPLE are enough in any case.
const TOLD_OF: f64 = 0.2;
/// Median loss from which the fleet as a whole is in trouble: then no host is a laggard.
const COMMON_LOSS: f64 = 0.1;
/// Tries expected of a host without a line that count as silence (chance leaves 1 in 1000), if the other
/// hosts have each been heard of this often meanwhile: lines may wait their turn.
const SILENT_TRIES: f64 = 7.0;
const SILENT_TURNS: f64 = 3.0;
/// First stay outside, doubling up to the longest; then a trial of at most this long at this weight.
const OUT_S: f64 = 4.0;
const OUT_LONGEST_S: f64 = 16.0;
const TRIAL_S: f64 = 8.0;
const TRIAL: f64 = 0.125;
/// Panic threshold: hosts are not taken out when less of the listed weight than this would stay.
const PANIC_SHARE: f64 = 0.2;
/// Weight of hosts in other zones where crossing has a price, at least, over the root of the number of the
/// zone's own: chance evens out with that. It doubles for a zone whose own hosts would get this multiple of
/// their part of the work: below that it would follow noise.
const REMOTE: f64 = 0.6;
const BALANCE: f64 = 1.5;
/// Use of a cold host's budget, the fleet's load where it is not known, and the share of the usual weight
/// that warm hosts must hold for cold ones to wait.
const COLD_USE: f64 = 0.5;
const ASSUMED_LOAD: f64 = 0.75;
const WARM_ENOUGH: f64 = 0.2;
/// Busy share of the cores that levels aim at, and where they count as full; the wait of an answer, as a
/// share of the tightest aim, that goes with the former; least of a class that is always let in.
const BUSY_AIM: f64 = 0.65;
const BUSY_MOST: f64 = 0.92;
const WAIT_AIM: f64 = 0.2;
/// Cores that are busy for less tell of probes and of chance.
const BUSY_LEAST: f64 = 0.25;
const LEAST_LEVEL: f64 = 0.05;
/// Least of all work that is let in: queues that still drain must not read as ever more demand. And a level
/// that lets everything in where levels are rates.
const LEAST_ADMITTED: f64 = 0.3;
const NO_LIMIT: f64 = 1e6;
/// Proof that a try never ran makes a repeat safe for every class, whatever its effect. After any other
/// failure none is ordered, not even where it would be safe: the second try comes after the aim has passed,
/// and doubles the work just when hosts are short of it.
const TRY_AGAIN: Retry = Retry::OnProof;
/// What waits in the channel is counted by proxies' answers to marks; one is ordered once so much went
/// without. A mark is given up once its lines would have left at this share of the pace last measured, in so
/// long at most, and then some time later: more while answers come, since single ones may be lost.
const UNMARKED: f64 = 0.02;
const CHANNEL_PACE: f64 = 0.25;
const LEAVE_S: f64 = 15.0;
const ANSWER_S: f64 = 6.0;
const NO_ANSWER_S: f64 = 1.0;
/// Orders are held back here, where urgent ones overtake, and not in the channel, where none does: what it
/// sends in this time, beyond the way, may wait there, however much the rules allow. And what must have
/// waited before a message for its time to tell the pace: less is lost in the chance of its way.
const AHEAD_S: f64 = 2.0;
const PACE_S: f64 = 0.25;
/// Time between two looks at the levels and, where probes tell the load, between two probes of a host; the
/// longest time between two looks at all else.
const LEVEL_S: f64 = 1.0;
/// So many directors may probe every host each time, however many there are: probes cost the hosts work. Each
/// then asks its part of them, drawn anew each time, and no fewer than make a mean.
const PROBERS: f64 = 2.0;
const SAMPLE: f64 = 16.0;
const TICK_S: f64 = 0.25;
/// How urgent an order is: the part of the channel's queue, and of the messages to a proxy, that it may use.
type Urgency = (f64, f64);
/// Share of the drain grace after which joiners go before tables in use.
const PATIENCE: f64 = 0.2;
const DRAIN: Urgency = (0.9, 1.0);
const BIND: Urgency = (0.8, 0.9);
const HEALTH: Urgency = (0.5, 0.7);
const ORDINARY: Urgency = (0.25, 0.4);
const LUXURY: Urgency = (0.1, 0.25);
/// A connection should carry this many requests before it would close idle, and up to so many where
/// connections run short. A proxy that sends less gets a part of the hosts at listed weight, at least so many
/// and all from this part on, and the others as spares.
const USES: f64 = 3.0;
const TIGHTEST: f64 = 48.0;
const LEAST_HOSTS: f64 = 3.0;
const WHOLE: f64 = 0.7;
const SPARE: f64 = 1.0 / 2048.0;
/// Proxies that share a table, and where connections run short; parts are laid anew when one would move by
/// more than this share of its length. Weights that differ by less than SAME are not sent.
const SHARED_BY: f64 = 5.0;
const FINE: f64 = 2.0;
const SHIFT: f64 = 0.25;
const SAME: f64 = 0.02;
/// What is kept of a host that the list has not named for so long goes: past any return after a crash.
const FORGET_S: f64 = 60.0;

impl Director {
    /// A director that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let groups = Group::all(&settings.classes);
        let unserved = (settings.slices > 0).then(|| "slices are not supported: no orders are given".into());
        let notes = Vec::from_iter(unserved);
        let zones = settings.zones.iter().map(|zone| (zone.clone(), Zone::default())).collect();
        let start = Director { random: seed | 1, admitted: 1.0, ..Director::default() };
        Director { set: settings, groups, notes, zones, ..start }
    }

    /// Takes in events that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        events.iter().for_each(|event| self.take(event));
        let looks = self.now >= self.next_tick || std::mem::take(&mut self.urgent);
        if self.set.slices == 0 && looks {
            self.ask(out);
            self.follow_warmth();
            let mut zones = std::mem::take(&mut self.zones);
            self.judge_changed(&mut zones);
            if self.now >= self.next_round {
                self.forget(&mut zones, FORGET_S, out);
                self.hush(SILENT_TRIES, SILENT_TURNS);
                self.round_if_heard(&mut zones);
                self.localize(&mut zones);
                self.next_round = self.after(ROUND_S.max(self.set.report_period.secs()));
            }
            if self.now >= self.next_level {
                self.levels(&zones);
                self.sizes(&zones);
                zones.iter_mut().for_each(|(name, zone)| self.tighten(name, zone));
                // Load is asked for only where it is told in no other way.
                let asks = self.set.probing && self.set.load_reports == LoadReports::WithProbes;
                let ready: Vec<HostId> = self.ready().filter(|_| asks).map(|(id, _)| id.clone()).collect();
                let part = (PROBERS / f64::from(self.set.directors)).max(SAMPLE / ready.len() as f64);
                out.extend(ready.into_iter().filter(|_| self.chance() < part).map(Action::Probe));
                self.next_level = self.after(LEVEL_S);
            }
            self.deal_changed(&mut zones);
            self.reconcile(&mut zones, out);
            self.zones = zones;
        }
        out.extend(self.notes.drain(..).map(Action::Log));
        if self.now >= self.next_tick {
            self.next_tick = self.after(TICK_S);
            out.push(Action::Timer(self.next_tick, 0));
        }
    }

    // ---- 2. Fleet view -----------------------------------------------------------------------------------
    fn take(&mut self, event: &Event) {
        self.note_change(event);
        match event {
            Event::List(kind, entries) => self.list(*kind, entries),
            Event::ListFailed => {
                // A failed call or a broken subscription: ask again, less often each time, but inside the
                // time after which the director counts as told anyway. Directors spread by their seeds.
                self.failures += 1;
                let spread = 0.75 + 0.5 * self.chance();
                // After a failed call four times that count: many must not swamp a list that comes back.
                let crowd = (f64::from(self.set.directors) / 10.0).clamp(1.0, 4.0);
                let longest = (crowd * self.set.ask_within.secs() / 2.0).max(1.0);
                let wait = spread * (0.25 * 2f64.powi(self.failures.min(10) as i32)).min(longest);
                (self.watching, self.ask_at) = (false, self.after(wait));
                self.notes.push(format!("list call failed, asking again in {wait:.1} s"));
            }
            Event::ListMoved => (self.watching, self.ask_at, self.urgent) = (false, self.now, true),
            Event::Joined(id, zone, rate) => {
                self.zones.entry(zone.clone()).or_default();
                // The limit on messages to one proxy outlasts its streams.
                let before = self.proxies.remove(id).map(|proxy| proxy.sent).or(self.parted.remove(id));
                self.proxies
                    .insert(*id, Proxy::new(zone, rate.max(0.01), before.unwrap_or_default(), self.now));
            }
            Event::Left(id) => {
                let sent = self.proxies.remove(id).map(|proxy| proxy.sent).filter(|sent| !sent.is_empty());
                self.parted.extend(sent.map(|sent| (*id, sent)));
            }
            Event::Heard(zone, host, sums, mean, load) => {
                self.heard(zone, host, *sums, *mean);
                self.loaded(host, load);
            }
            Event::Probed(host, _, load) => self.loaded(host, load),
            Event::Usage(proxy, class, sums) => {
                if let Some(proxy) = self.proxies.get_mut(proxy) {
                    proxy.told_at = self.now;
                    let rate = sums.total as f64 / sums.over.secs().max(0.1);
                    let usage = proxy.usage.entry(*class).or_insert(rate);
                    *usage += 0.5 * (rate - *usage);
                }
            }
            Event::Applied(proxy, mark, took) => {
                // What waited before it, over its time without the way, is the channel's pace.
                let (usual, span) = (self.set.lines_per_s, 2.0 * self.set.push_delay_max.secs());
                let waited = self.channel.answered(self.now, *proxy, *mark, span);
                let took = (took.secs() - self.set.push_delay.secs()).max(0.0);
                if let Some(lines) = waited.filter(|lines| *lines > PACE_S * self.pace()) {
                    self.channel.pace = self.pace() + 0.1 * ((lines / took).min(usual) - self.pace());
                }
            }
            Event::Timer(_) | Event::Peer(..) | Event::Slice => {}
        }
    }

    fn list(&mut self, kind: ListKind, entries: &[Entry]) {
        let (advice, first) = (self.set.gone_is_advice, self.fleet.is_empty());
        self.urgent = true;
        self.failures = if kind == ListKind::Remembered { self.failures } else { 0 };
        // A wrong list must not empty the tables: where `gone` is advice, a host goes when its answers fail.
        let now = self.now;
        let gone = |host: &mut Host| match (advice && host.ready(), host.gone_at.get_or_insert(now)) {
            (true, _) => host.doubted = true,
            (false, _) => host.entry.readiness = Readiness::Gone,
        };
        if kind != ListKind::Changes {
            let named: BTreeSet<&HostId> = entries.iter().map(|e| &e.host).collect();
            self.fleet.iter_mut().filter(|(id, _)| !named.contains(id)).for_each(|(_, host)| gone(host));
        }
        for entry in entries {
            let speed = self.speeds.get(&entry.kind).unwrap_or(&1.0);
            let (id, listed) = (&entry.host, speed * if entry.weight > 0.0 { entry.weight } else { 1.0 });
            if entry.readiness != Readiness::Ready {
                self.notes.push(format!("{} is {:?}", id.0, entry.readiness));
            }
            if entry.readiness == Readiness::Gone {
                self.fleet.get_mut(id).into_iter().for_each(gone);
                continue;
            }
            let known = self.fleet.get(id);
            let kept = known.map(|k| k.weight).filter(|k| (k / listed - 1.0).abs() < 0.25);
            let same = known.map_or(first, |k| k.ready() && k.entry.started == entry.started);
            let busy = known.and_then(|k| k.busy);
            let (entry, weight) = (entry.clone(), kept.unwrap_or(listed));
            let host = Host { entry, weight, busy, row: 0.0, doubted: false, gone_at: None };
            if host.ready() && !same {
                // What was heard of the old process is void. Slow start keeps the new one reduced; a quarter
                // on top would starve a rolling deploy. One that no list named before is on trial first: the
                // list may name hosts that are none of ours, or are set up wrongly. Harm: less of a real one.
                let state = if known.is_none() { Health::Trial(self.after(TRIAL_S)) } else { Health::In };
                let path = Path { state, stay_s: OUT_S, new: true, ..Path::default() };
                let new = |z: &mut Zone| z.paths.insert(id.clone(), path.clone());
                self.zones.values_mut().map(new).for_each(drop);
                self.notes.push(format!("{} has started", id.0));
            }
            self.fleet.insert(id.clone(), host);
        }
    }

    fn ask(&mut self, out: &mut Vec<Action>) {
        if !self.watching && self.now >= self.ask_at {
            self.watching = true;
            // Where changes are pushed, the remembered list may still be old: ask for it once.
            out.push(if self.set.list_on_request { Action::Watch(true) } else { Action::FetchList });
        }
    }

    // ---- 3. Evidence -------------------------------------------------------------------------------------
    fn heard(&mut self, zone: &ZoneId, host: &HostId, sums: Sums, mean: Micros) {
        let (tries, lost) = (sums.total as f64, sums.lost.min(sums.total) as f64);
        // An answer past every aim earns no more than a loss, where the usual one is well inside.
        let aim = self.longest_aim_ms();
        let Some(zone) = self.zones.get_mut(zone) else { return };
        let late = mean.0 as f64 / 1e3 > aim && self.latency.is_some_and(|usual| usual < aim / 2.0);
        let Some(known) = self.fleet.get_mut(host).filter(|_| sums.total > 0) else { return };
        let path = zone.paths.entry(host.clone()).or_default();
        path.sum.add(Tally { tries, lost, ms: (tries - lost) * mean.0 as f64 / 1e3 });
        zone.heard = (zone.heard.0 + tries, zone.heard.1 + 1.0 / zone.width.max(1.0));
        (path.seen, path.missed) = (zone.heard, 0.0);
        let fade = 0.5f64.powf(self.now.since(path.faded_at) / HALF_LIFE_S);
        path.good = path.good * fade + tries - lost;
        path.bad = path.bad * fade + lost;
        path.streak = if lost == tries { path.streak + lost } else { 0.0 };
        let useless = f64::from(u8::from(late || lost == tries));
        let before = known.row;
        (path.row, known.row) = (useless * (path.row + tries), useless * (known.row + tries));
        path.faded_at = self.now;
        self.derived.heard(&mut zone.derived, host, (before >= ENOUGH) != (known.row >= ENOUGH));
    }

    fn loaded(&mut self, host: &HostId, load: &Load) {
        if let (Some(host), Some(busy)) = (self.fleet.get_mut(host), load.busy) {
            host.busy = Some((host.busy.map_or(busy, |(known, _)| (known + busy) / 2.0), self.now));
        }
    }

    // ---- 4. Ranking: the design --------------------------------------------------------------------------
    /// Makes new figures of what was heard; gives whether there were any.
    pub(crate) fn round(&mut self, zones: &mut ByZone<Zone>) -> bool {
        let mut whole = self.sums_by_host(zones);
        let heard = || whole.iter().map(|all| all.sum).filter(|t| t.tries >= 3.0);
        self.loss = median(heard().map(|t| t.lost / t.tries)).unwrap_or(0.0);
        self.latency = median(heard().filter_map(|t| t.mean_ms()));
        // Too few tries must not confirm noise; a zone that heard little leans on the others.
        whole.retain(|all| all.sum.tries >= ENOUGH);
        for (name, zone) in zones.iter_mut() {
            for HostSum { at, host, sum: all } in &whole {
                let Some(path) = zone.paths.get_mut(host) else { continue };
                let own = path.sum;
                let loss = (own.lost + PRIOR * all.lost / all.tries) / (own.tries + PRIOR);
                path.loss += 0.5 * (loss - path.loss);
                if let Some(mean) = all.mean_ms() {
                    let latency = (own.ms + PRIOR * mean) / (own.tries - own.lost + PRIOR);
                    path.latency = Some(path.latency.map_or(latency, |known| (known + latency) / 2.0));
                }
                path.score = path.latency.map(|ms| ms + LOSS_MS * 100.0 * path.loss);
                path.sum = Tally::default();
                zone.derived.rows.follow(*at, path);
            }
            self.rank(name, zone, &whole);
        }
        !whole.is_empty()
    }

    /// The score at which half of an owner's listed weight is reached, by its hosts' scores and weights:
    /// what its leading group is measured by.
    pub(crate) fn lead(mut scored: Vec<(f64, f64)>) -> Option<f64> {
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = GROUP_SHARE * scored.iter().map(|s| s.1).sum::<f64>();
        let reached = |s: &&(f64, f64)| {
            left -= s.1;
            left <= 0.0
        };
        scored.iter().find(reached).map(|s| s.0)
    }

    /// Moves those of one owner's hosts that have fresh figures in and out of its leading group.
    fn rank(&mut self, name: &ZoneId, zone: &mut Zone, fresh: &[HostSum]) {
        // If all exits fail the order stays (design page): losses that most hosts share say nothing of one.
        if zone.usual >= COMMON_LOSS || fresh.is_empty() {
            return;
        }
        let Some(lead) = Director::lead(zone.derived.rows.scored()) else { return };
        let cooled = zone.moved_at.is_none_or(|at| self.now.since(at) >= COOLDOWN_S);
        let aim = self.tightest_aim_ms();
        for HostSum { at, host: id, .. } in fresh {
            let Some(path) = zone.paths.get_mut(id).filter(|p| p.state == Health::In) else { continue };
            let Some(score) = path.score else { continue };
            let margin = MARGIN_MS.max(MARGIN_SHARE * score).max(AIM_MARGIN * aim);
            let lags = score >= lead + margin && path.step < LOWEST_STEP;
            let leads = score <= lead + margin / 2.0 && path.step > 0;
            path.confirmed = if lags || leads { path.confirmed + 1 } else { 0 };
            if path.confirmed >= CONFIRM && cooled {
                path.step = if lags { path.step + 1 } else { path.step - 1 };
                path.confirmed = 0;
                zone.moved_at = Some(self.now);
                zone.derived.moved(*at, path);
                let what = format!("{} from {}: score {score:.0} against {lead:.0}", id.0, name.0);
                self.notes.push(format!("{what}, weight / {}", 1 << path.step));
            }
        }
    }

    /// Common losses while hosts have time to spare mean refused connections. Each proxy then keeps to fewer
    /// hosts, and to more again by steps once losses are gone. Harm: less choice if they have another cause.
    fn tighten(&mut self, name: &ZoneId, zone: &mut Zone) {
        // One that has just started has heard of a few hosts only, and those are the ones that fail.
        let heard =
            || zone.derived.rows.paths().iter().filter(|row| row.good + row.bad >= 2.0).count() as f64;
        let told = || self.load > 0.0 && heard() >= SAMPLE.min(TOLD_OF * self.ready().count() as f64);
        let short = (COMMON_LOSS..1.0).contains(&zone.usual) && self.load < BUSY_MOST && told();
        let before = zone.uses.max(USES);
        let calm = zone.usual < COMMON_LOSS / 5.0 && before > USES;
        zone.confirmed = if calm { (zone.confirmed + 1) % (2 * CONFIRM) } else { 0 };
        let back = if calm && zone.confirmed == 0 { before / 2.0 } else { before };
        zone.uses = if short { TIGHTEST } else { back };
        if zone.uses != before {
            let why = format!("usual loss {:.2}, load {:.2}", zone.usual, self.load);
            self.notes.push(format!("{} wants {} uses of a connection: {why}", name.0, zone.uses));
        }
    }

    /// Locality, where crossing zones has a price: hosts of other zones keep as little of their weight as
    /// leaves no zone's hosts far more than their part of the work; a busy or thinned-out zone spreads out.
    fn localize(&self, zones: &mut ByZone<Zone>) {
        let (mut parts, mut work, mut room) = (ByZone::new(), 0.0, 0.0);
        let homes = self.by_home();
        for (name, zone) in zones.iter().filter(|_| self.set.cross_zone_price > 0.0) {
            let own = || homes.get(name).into_iter().flatten().copied();
            let taken = |id| zone.paths.get(id).is_none_or(|p| p.state == Health::In);
            let open = own().filter(|(id, h)| h.ready() && taken(id));
            let capacity: f64 = open.map(|(_, h)| h.weight * self.warmth(h)).sum();
            // Where proxies join directors of their zone, a director hears of one zone only: to it, work is
            // where machines were put. What it hears would read as if all work were in its zone.
            let demand: f64 = match self.set.local_first && self.set.directors > 1 {
                true => own().map(|(_, h)| h.weight).sum(),
                false => self.proxies_of(name).flat_map(|(_, p)| p.usage.values()).sum(),
            };
            (work, room) = (work + demand, room + capacity);
            let hosts = own().filter(|(_, h)| h.ready()).count().max(1) as f64;
            // In powers of two: each change of it is one of every table.
            let least = (REMOTE / hosts.sqrt()).log2().round().exp2().min(1.0);
            parts.insert(name.clone(), (demand, capacity, least));
        }
        loop {
            // Work for a unit of capacity at home; hosts elsewhere get the remote part of it.
            let home = |p: &(f64, f64, f64)| p.0 / work / (p.1 / room * (1.0 - p.2) + p.2);
            let away: f64 = parts.values().map(|p| p.2 * home(p)).sum();
            let load = |p: &(f64, f64, f64)| (1.0 - p.2) * home(p) + away;
            let hot = parts.values_mut().filter(|p| p.2 < 1.0 && load(p) > BALANCE);
            let Some(hottest) = hot.max_by(|a, b| load(a).total_cmp(&load(b))) else { break };
            hottest.2 = (2.0 * hottest.2).min(1.0);
        }
        zones.iter_mut().for_each(|(name, zone)| zone.bias = parts.get(name).map_or(0.0, |p| 1.0 - p.2));
    }

    // ---- 5. Health ---------------------------------------------------------------------------------------
    /// The fast path: takes out what loses, swallows or long delays requests, zone by zone (one that is cut
    /// off must not withdraw a host for all, nor judge each host beyond by itself), and tries it again later.
    /// Gives when time alone may change what it found.
    pub(crate) fn judge(&mut self, name: &ZoneId, zone: &mut Zone) -> Micros {
        zone.usual = usual_loss(zone.derived.rows.health());
        let suspects = zone.derived.rows.suspects(zone.heard.0, SILENT_TRIES);
        let cut = self.cut(name, zone, &suspects, SILENT_TRIES);
        let due = self.health_due(zone, &suspects, SILENT_TRIES);
        let verdict = |of: Member| Some((of.at, of.id.clone(), self.verdict(zone, &of, &cut)?));
        let concerned = self.members_at(zone, &suspects, !cut.is_empty()).filter(|of| of.path.known);
        let verdicts: Vec<(usize, HostId, Verdict)> = concerned.filter_map(verdict).collect();
        for (at, id, verdict) in verdicts {
            let Some(path) = zone.paths.get_mut(&id) else { continue };
            match verdict {
                Verdict::Out => {
                    let (lost, missed) = (path.streak, path.missed_by(zone.heard.0));
                    let row = self.fleet[&id].row;
                    let (host, counts) = (&id.0, format!("{lost:.0} lost in a row, {missed:.0} missed"));
                    self.notes.push(format!("{host} out for {}: {counts}, {row:.0} useless in all", name.0));
                    (path.stay_s, path.state) = (OUT_S, Health::Out(self.after(OUT_S)));
                }
                Verdict::OutAgain => {
                    path.stay_s = (2.0 * path.stay_s).min(OUT_LONGEST_S);
                    path.state = Health::Out(self.after(path.stay_s));
                }
                Verdict::Trial => path.anew(Health::Trial(self.after(TRIAL_S)), 0),
                Verdict::Back => {
                    path.anew(Health::In, if path.new { 0 } else { LOWEST_STEP });
                    self.notes.push(format!("{} is back for {}", id.0, name.0));
                }
            }
            zone.derived.moved(at, path);
        }
        due
    }

    /// Whether losses of a host in all zones count in each: not where levels are ignored, since nothing then
    /// relieves the others of what they get, and a jam spreads.
    pub(crate) fn calm(&self) -> bool {
        self.load < BUSY_MOST && self.set.admission != Admission::Ignored
    }

    /// What becomes of a host in a zone, if that changes now.
    fn verdict(&self, zone: &Zone, of: &Member, cut: &BTreeSet<ZoneId>) -> Option<Verdict> {
        let (host, path) = (of.host, of.path);
        let (usual, (tries, turns)) = (zone.usual, zone.heard);
        // Two witnesses are enough: the list says gone, and nothing comes back.
        let dead = host.doubted && path.streak >= 1.0;
        // Few tries of one zone tell little; those of all do, once the zone has seen the like itself.
        let seen = path.row > 0.0 && usual < COMMON_LOSS && self.calm();
        let useless = seen && host.row >= ENOUGH || cut.contains(&host.entry.zone);
        let lossy = path.streak >= OUT_LOST && usual.powf(path.streak) < OUT_CHANCE;
        // Silence is measured by what others reported: sums that are late for all are silence of none.
        let unheard = of.health.missed_by(tries) >= SILENT_TRIES && turns - of.health.seen.1 >= SILENT_TURNS;
        let silent = unheard && usual < COMMON_LOSS;
        let answers = if path.new { 1.0 } else { 2.0 };
        match path.state {
            _ if !host.ready() => None,
            Health::In => (dead || useless || lossy || silent).then_some(Verdict::Out),
            Health::Out(until) => (self.now >= until && !host.doubted).then_some(Verdict::Trial),
            Health::Trial(_) if path.row >= 2.0 => Some(Verdict::OutAgain),
            Health::Trial(until) => (self.now >= until || path.good >= answers).then_some(Verdict::Back),
        }
    }

    /// Whether a zone uses a host, or may, and the host's share of losses where enough was heard of it.
    pub(crate) fn in_use(path: &Path) -> (bool, Option<f64>) {
        let stays = path.state == Health::In && path.streak < OUT_LOST;
        let heard = stays && path.good + path.bad >= 2.0;
        (stays, heard.then(|| path.bad / (path.good + path.bad)))
    }

    // ---- 6. Return ---------------------------------------------------------------------------------------
    /// Slow start: the share of its capacity that a host surely has by now: it rises at least evenly. In
    /// eighths, so that a ramp does not cost a message a tick.
    pub(crate) fn warmth(&self, host: &Host) -> f64 {
        let surely = self.set.start_capacity + (1.0 - self.set.start_capacity) * self.age(host);
        (surely.min(1.0) * 8.0).floor().max(1.0) / 8.0
    }

    // ---- 7. Levels and further tries ---------------------------------------------------------------------
    /// Lets less in while the hosts cannot do it all. Demand is the busy share (or the wait that goes with
    /// it) times the open capacity, over the share let in when it was measured.
    fn levels(&mut self, zones: &ByZone<Zone>) {
        let (loss, mut capacity, mut seen, mut used) = (self.loss, 0.0, 0.0, 0.0);
        let taken = self.any_zone(zones, |row| row.known && row.state == Health::In);
        for (host, _) in self.fleet.values().zip(taken).filter(|(host, taken)| host.ready() && *taken) {
            let open = host.weight * self.warmth(host);
            capacity += open;
            // A host that gets nothing reports nothing: its last word must not hold a level down.
            let fresh = |at: Micros| self.now.since(at) <= 2.0 * ROUND_S.max(self.set.report_period.secs());
            if let Some((busy, _)) = host.busy.filter(|b| fresh(b.1)) {
                (seen, used) = (seen + open, used + open * busy);
            }
        }
        let Some(latency) = self.latency.filter(|_| capacity > 0.0) else { return };
        let unloaded = *self.unloaded_ms.insert(self.unloaded_ms.map_or(latency, |known| known.min(latency)));
        let (busy, wait) = (used / f64::max(seen, 1e-9), (latency - unloaded) / self.tightest_aim_ms());
        let load = busy.max(BUSY_AIM + wait - WAIT_AIM);
        self.load = load;
        let lag = self.set.report_period.secs() + self.set.push_delay.secs() + 1.0;
        while self.let_in.len() > 1 && self.now.since(self.let_in[1].0) >= lag {
            self.let_in.pop_front();
        }
        // Both as they were when the load was met: hosts that drain meanwhile took their part of it.
        let was = self.let_in.front().map_or(capacity, |l| l.1);
        // Saturated cores don't tell how much more was asked of them; losses do.
        let hidden = if load >= BUSY_MOST { 1.0 + loss.min(0.5) } else { 1.0 };
        // A rise counts at once, a fall by half: a jam forms faster than it ends.
        let demand = load * hidden * was;
        self.demand = demand.max((self.demand + demand) / 2.0);
        let share = BUSY_AIM * capacity / self.demand.max(1e-9);
        let share = if share >= 0.9 { 1.0 } else { ((share * 20.0).round() / 20.0).max(LEAST_ADMITTED) };
        if share != self.admitted {
            let why = format!("of the work: loss {loss:.2}, busy {busy:.2}, {latency:.0} ms");
            self.notes.push(format!("lets in {share:.2} {why}"));
        }
        self.admitted = share;
        self.let_in.push_back((self.now, capacity / share));
    }

    /// Listed sizes may leave out how fast a kind of machine is: busy shares at equal parts of the work tell.
    /// By median: one host's speed is the ranking's affair. Harm: a trouble that strikes half of a kind.
    fn sizes(&mut self, zones: &ByZone<Zone>) {
        let mut kinds = self.busy_by_kind(zones, 2.0 * ROUND_S.max(self.set.report_period.secs()));
        let cooled = self.sized_at.is_none_or(|at| self.now.since(at) >= COOLDOWN_S);
        kinds.retain(|_, busy| cooled && self.load < BUSY_MOST && busy.len() as f64 >= ENOUGH);
        let speed = |(kind, busy): (String, Vec<f64>)| {
            let known = self.speeds.get(&kind).copied();
            let busy = median(busy.into_iter()).filter(|busy| *busy >= BUSY_LEAST)?;
            Some((kind, known, known.unwrap_or(1.0) / busy))
        };
        let speeds: Vec<(String, Option<f64>, f64)> = kinds.into_iter().filter_map(speed).collect();
        let best = speeds.iter().map(|speed| speed.2).fold(0.0, f64::max);
        for (kind, known, speed) in speeds {
            // Smoothed: busy shares are those of some seconds ago, and of what all directors send.
            let (was, speed) = (known.unwrap_or(1.0), speed / best);
            let now = known.map_or(speed, |known| (known + speed) / 2.0);
            if (speed / was - 1.0).abs() >= MARGIN_SHARE {
                self.notes.push(format!("{kind} does {now:.2} of the fastest kind for its size"));
                let same = self.fleet.values_mut().filter(|host| host.entry.kind == kind);
                same.for_each(|host| host.weight *= now / was);
                (self.sized_at, _) = (Some(self.now), self.speeds.insert(kind, now));
                self.derived.weights_changed();
            }
        }
    }

    /// The share of a class that is let in. What is worth least for its work, by its aim, goes first.
    pub(crate) fn share(&self, class: usize) -> f64 {
        if self.admitted >= 1.0 {
            return 1.0;
        }
        let worth = |at: usize| self.set.classes[at].worth / self.set.classes[at].aim.secs();
        let rates = |at: usize| self.proxies.values().filter_map(move |p| p.usage.get(&ClassId(at)));
        let work = |at: usize| rates(at).sum::<f64>() * self.set.classes[at].aim.secs();
        let all = 0..self.set.classes.len();
        let total: f64 = all.clone().map(work).sum();
        let before: f64 = all.filter(|at| worth(*at) > worth(class)).map(work).sum();
        let total = if total <= 0.0 { f64::INFINITY } else { total };
        ((self.admitted * total - before) / work(class).max(1e-9)).clamp(LEAST_LEVEL, 1.0)
    }

    /// The level of a class in a zone's tables, by the share of it that is let in.
    pub(crate) fn level(&self, zone: &ZoneId, class: usize, share: f64) -> f64 {
        match self.set.admission {
            Admission::Share => (share * 20.0).round() / 20.0,
            Admission::Rate if share < 1.0 => self.cap(zone, ClassId(class), share).unwrap_or(NO_LIMIT),
            Admission::Rate => NO_LIMIT,
            Admission::Ignored => 1.0,
        }
    }

    // ---- 8. Reconcile ------------------------------------------------------------------------------------
    /// Deals a zone's hosts to its slots. Each has every host, the design's table, unless a proxy sends so
    /// little that most connections would close before they are used again: handshakes then eat the hosts'
    /// capacity, and each slot gets an arc of the ring, as long as its part of the work, at listed weight and
    /// all others as spares. Arcs cover the ring evenly; short ones start elsewhere with each director. Slots
    /// opened one after the other lie far apart: joiners fill those, and would crowd onto the same few hosts.
    pub(crate) fn deal(&mut self, name: &ZoneId, zone: &mut Zone) {
        let (count, total) = self.proxies_of(name).fold((0.0, 1e-9), |(n, all), p| (n + 1.0, all + p.1.rate));
        let (hosts, known) = zone.near_hosts();
        let wanted = (total / count * self.set.conn_idle.secs() / zone.uses.max(USES)).max(LEAST_HOSTS);
        let (groups, idle) = (self.groups.len(), self.set.conn_idle.0);
        // By all hosts known: a zone that loses its own must not turn to every host of the others.
        let whole = count == 0.0 || idle == 0 || wanted >= WHOLE * known;
        let due = if count > 0.0 { count.max(self.due()) / groups as f64 } else { 0.0 };
        let slots = |by: f64| (due / by).ceil().max(1.0);
        if zone.uses > USES && !zone.fine && hosts / slots(SHARED_BY) > 2.0 * LEAST_HOSTS {
            zone.fine = true;
            self.proxies.values_mut().filter(|p| p.zone == *name).for_each(|p| p.moves = true);
            self.derived.revisions.proxies += 1;
        }
        let slots = slots(if zone.fine { FINE } else { SHARED_BY }) as usize;
        while zone.slots.len() < slots {
            zone.slots.push(Slot::new(self.next_table, groups));
            self.next_table += groups as u32;
        }
        let slots = zone.slots.len() as f64;
        let tables = slots * self.sharing();
        let tight = f64::max(wanted / hosts, 1.0 / tables);
        let even = (wanted / hosts * slots).round().max(1.0) / slots;
        let part = [even, tight, 1.0][if whole { 2 } else { usize::from(zone.uses > USES) }];
        let work = self.work(name, zone, 0.1 * total / slots);
        let (all, begin) = (work.iter().sum::<f64>(), f64::from(self.set.me) / tables);
        let length = |share: f64| (part * share * slots).max(LEAST_HOSTS / hosts).min(1.0);
        let spans = arcs(&work, begin).into_iter().map(|(start, share)| (start, length(share)));
        let moved = |(slot, to): (&Slot, (f64, f64))| {
            f64::max((slot.start - to.0).abs(), (slot.length - to.1).abs()) > SHIFT * slot.length
        };
        // Not with every joiner: in a crowd of them that would cost more than their tables.
        let rests = zone.laid.is_some_and(|(uses, work, at)| {
            uses == zone.uses && all < work * (1.0 + 2.0 * SHIFT) && self.now.since(at) < COOLDOWN_S
        });
        let anew = !rests && zone.slots.iter().zip(spans.clone()).any(moved);
        zone.laid = if anew { Some((zone.uses, all, self.now)) } else { zone.laid };
        // A slot opened meanwhile gets its arc at once: its table costs nothing, as no proxy holds it yet.
        for (slot, span) in zone.slots.iter_mut().zip(spans).filter(|(slot, _)| anew || slot.length == 0.0) {
            (slot.start, slot.length) = span;
            slot.tables.iter_mut().for_each(|t| t.full = 0.0);
        }
    }

    /// The hosts that a zone's proxies may use for a group of classes.
    pub(crate) fn usable(&self, name: &ZoneId, zone: &Zone, group: usize, warmths: &[Warmth]) -> Vec<Line> {
        let mut lines = Vec::with_capacity(self.fleet.len());
        let open = |h: &Host| h.ready() && self.groups[group].may_go(name, &h.entry);
        for Member { at, host, health, path, .. } in self.members(zone).filter(|of| open(of.host)) {
            let factor = match path.state {
                Health::In => 0.5f64.powi(path.step as i32),
                Health::Trial(_) => TRIAL,
                Health::Out(_) => 0.0,
            };
            let (weight, own) = (host.weight, health.own);
            let (near, Warmth { warmth, cold }) = (zone.near(own), warmths[at]);
            lines.push(Line { at, weight, near, factor, warmth, cold, own, place: 0.0 });
        }
        place_on_ring(&mut lines);
        lines
    }

    /// The lines of a table at their weights, its spares, and the scale of a usual day.
    fn plan<'a>(&self, zone: &Zone, shared: &'a Shared, group: usize, slot: &Slot, full: f64) -> Plan<'a> {
        let usable = &shared.usable[group];
        let whole = slot.length >= 1.0; // In a part, fewer hosts of other zones stand for less weight of all.
        let weight = |l: &Line| if whole { l.weight * l.near } else { l.weight };
        let far = |l: &Line| if whole { 0.0 } else { (l.place - slot.start).rem_euclid(1.0) / l.near };
        let far: Vec<f64> = usable.iter().map(far).collect();
        let warm = usable.iter().zip(&far).filter(|(l, _)| !l.cold && l.factor > 0.0);
        let last = nth_least(warm.map(|(_, far)| *far), LEAST_HOSTS as usize);
        let reach = slot.length.max(last.map_or(0.0, |last| last + 1e-9));
        let mut lines: Vec<PlannedLine> = Vec::with_capacity(usable.len());
        let planned = |l: &Line, weight, spare| PlannedLine { id: &shared.ids[l.at], weight, spare };
        // Cold hosts that have a line, and where.
        let mut cold: Vec<(&Line, usize)> = Vec::new();
        let (mut usual, mut warm, mut rest) = (0.0, 0.0, 0.0);
        for (line, far) in usable.iter().zip(far) {
            let (base, factor) = (weight(line), line.factor);
            if far >= reach {
                if !line.cold {
                    lines.push(planned(line, base * SPARE, true));
                }
                continue;
            }
            usual += base;
            if line.cold {
                cold.extend((factor > 0.0).then_some((line, lines.len())));
            } else {
                warm += base;
                rest += base * factor;
            }
            if factor > 0.0 {
                lines.push(planned(line, base * factor.min(line.warmth), false));
            }
        }
        // Never empty: whatever was judged above, a warm host that the list shows as ready stays.
        if rest == 0.0 && usable.iter().any(|l| !l.cold) || lines.iter().all(|l| l.spare) {
            lines = usable.iter().map(|l| planned(l, weight(l) * l.warmth, false)).collect();
            cold = usable.iter().zip(0..).filter(|(l, _)| l.cold).collect();
            rest = usable.iter().filter(|l| !l.cold).map(weight).sum();
            (usual, warm) = (usable.iter().map(weight).sum(), rest);
        }
        let full = full.max(usual);
        // Cold hosts wait while losses are common: proxies avoid most other lines by their own count, and all
        // of it would fall on the newcomer. Warm hosts count by listed weight, whatever a strain left.
        let waits = warm >= WARM_ENOUGH * full && zone.usual >= COMMON_LOSS;
        cold.retain(|_| rest > 0.0);
        for (line, at) in cold.iter().filter(|_| !waits) {
            // Few hosts left: what the others no longer carry must not push a cold host over.
            let budget = self.set.overload_factor * line.warmth * COLD_USE / ASSUMED_LOAD;
            let share = (budget * weight(line) / full).min(0.9);
            lines[*at].weight = lines[*at].weight.min(share / (1.0 - share) * rest);
        }
        if waits {
            let (mut waiting, mut next) = (cold.iter().map(|(_, at)| *at).peekable(), 0..);
            lines.retain(|_| next.next().is_none_or(|at| waiting.next_if_eq(&at).is_none()));
        }
        Plan { lines, full }
    }

    fn reconcile(&mut self, zones: &mut ByZone<Zone>, out: &mut Vec<Action>) {
        let wait = |expected| self.set.push_delay_max.secs() + if expected { ANSWER_S } else { NO_ANSWER_S };
        let silence = self.channel.silence(self.now, &self.proxies, self.set.lines_per_s);
        if silence.is_some_and(|s| s.secs > wait(s.expected) + (s.leave_s / CHANNEL_PACE).min(LEAVE_S)) {
            self.channel.give_up(self.now);
        }
        // Who was sent nothing for longest goes first: where the channel is short none must wait for ever.
        let waiting = self.waiting();
        let shared = self.shared(zones, &waiting);
        for (name, at) in by_last_sent(zones) {
            let Some(zone) = zones.get_mut(&name) else { continue };
            (0..self.groups.len()).for_each(|group| self.update(zone, &shared[&name], group, at, out));
        }
        self.expect_changed(zones, 1e-3);
        if !waiting.is_empty() {
            self.bind(zones, waiting, out);
        }
        self.close_answer(UNMARKED * self.ahead(DRAIN), out);
    }

    /// Lines that may be under way for orders of an urgency: those waiting in the channel and those past it.
    fn ahead(&self, (queue, _): Urgency) -> f64 {
        let pace = self.pace();
        (queue * self.set.queue_max).min(pace * (queue * AHEAD_S + self.set.push_delay.secs()))
    }

    /// Whether orders of `lines` lines to each of some proxies may go now.
    fn room(&self, urgency: Urgency, lines: usize, users: &[ProxyId]) -> bool {
        let most = urgency.1 * self.set.messages_max as f64;
        let recent = |at: &&Micros| self.now.since(**at) <= self.set.messages_over.secs();
        let free = |id: &ProxyId| {
            let sent = || self.proxies[id].sent.iter().filter(recent).count() as f64;
            most == 0.0 || self.sending.contains_key(id) || sent() + 1.0 <= most
        };
        let lines = (lines as f64 + self.head()) * users.len() as f64;
        self.channel.queued + lines <= self.ahead(urgency) && users.iter().all(free)
    }

    /// Sends the differences of a table for a group of classes if the most urgent may go now, and then as
    /// many new spares as there is room for.
    fn update(&mut self, zone: &mut Zone, shared: &Shared, group: usize, at: usize, out: &mut Vec<Action>) {
        let (usable, users, waiting) = (&shared.usable[group], &shared.users[at], shared.waiting);
        let own = (0..self.set.classes.len()).filter(|at| self.groups[group].mask >> at & 1 == 1);
        let wanted: Vec<_> = own.map(|at| (ClassId(at), shared.levels[at])).collect();
        // Spares are a luxury: joiners must not wait for them, nor may they cost connections that run short.
        let joins = self.channel.queued + (waiting * usable.len() * self.groups.len()) as f64;
        let crowded = waiting > 0 && joins > self.ahead(ORDINARY);
        // Those that the channel can't lay within a cooldown would never be whole, and hold up all that is.
        let laid_by = (self.proxies.len() * usable.len() * self.groups.len()) as f64 / self.set.lines_per_s;
        let spared = laid_by <= COOLDOWN_S && !crowded && zone.uses <= USES;
        let (slot, table) = (&zone.slots[at], &zone.slots[at].tables[group]);
        let inputs = TableInputs::new(shared, slot, table, zone.usual >= COMMON_LOSS, spared);
        if table.settled.holds(&inputs, self.now) {
            return;
        }
        let plan = self.plan(zone, shared, group, slot, table.full);
        let (mut changes, mut levels) = table.differences(&plan, spared, &wanted, SAME);
        let spares = if spared { plan.new_spares(table) } else { Vec::new() };
        let urgent = changes.iter().map(|change| self.urgency(zone, change));
        // In a crowd the joiners' part of the channel is for all: tables that stand still jam hosts. Joiners
        // have it for themselves once the first of them has waited for a good part of its grace.
        let least =
            if crowded && shared.waits < PATIENCE * self.set.drain_grace.secs() { BIND } else { ORDINARY };
        let urgency = urgent.fold(least, |a, b| if b > a { b } else { a });
        let (mut anew, mut count) = (false, changes.len() + levels.len());
        let settled = count == 0 && spares.is_empty();
        // A table that none holds yet costs nothing: it must be whole before a proxy is bound.
        let short = 1 + plan.main().count() + wanted.len();
        let shorter = short < count && (crowded || urgency == DRAIN);
        let tight = shorter || !self.room(urgency, count, users);
        if count > 0 && !users.is_empty() && tight {
            // Where there is no room for all, a table is laid anew without spares if that is shorter;
            // else what is urgent must not wait for the rest, but for new lines: a table was left empty.
            anew = short < count && self.room(urgency, short, users);
            if anew {
                (changes, levels, count) = (plan.anew(), wanted.clone(), short);
            } else {
                changes.retain(|change| change.is_new() || self.urgency(zone, change) == urgency);
                (levels, count) = (Vec::new(), changes.len());
                if urgency == ORDINARY || !self.room(urgency, count, users) {
                    return;
                }
            }
        }
        if anew {
            zone.lean_until = self.after(COOLDOWN_S);
        } else if waiting == 0 && self.now >= zone.lean_until && self.room(LUXURY, count + 1, users) {
            let room = (self.ahead(LUXURY) - self.channel.queued) / users.len().max(1) as f64;
            let most = (room - self.head()) as usize;
            changes.extend(spares.into_iter().take(most.saturating_sub(count)));
            count = changes.len() + levels.len();
        }
        let table = &mut zone.slots[at].tables[group];
        table.full = plan.full;
        if anew {
            out.push(Action::ClearTable(table.id));
            table.clear();
        }
        out.extend(table.orders(&changes, &levels, TRY_AGAIN));
        table.ordered(changes, levels);
        if settled {
            table.settled.settle(inputs.with_full(table.full), NEVER);
        }
        if count > 0 {
            self.touch(count, users);
            (zone.changed, zone.slots[at].sent_at) = (true, self.now);
        }
    }

    /// How urgent a change of a line is: a cold host has its budget from the start, so its old share goes.
    fn urgency(&self, zone: &Zone, change: &LineChange) -> Urgency {
        let out = || zone.paths.get(&change.id).is_some_and(|p| matches!(p.state, Health::Out(_)));
        match change.is_lowered().then(|| &self.fleet[&change.id]) {
            Some(host) if !host.ready() => DRAIN,
            Some(host) if out() || self.age(host) < 1.0 => HEALTH,
            _ => ORDINARY, // Only hosts that are ready get more.
        }
    }

    /// Binds proxies that have joined, once, as soon as the channel has room, to the slot with least work.
    fn bind(&mut self, zones: &ByZone<Zone>, waiting: Vec<ProxyId>, out: &mut Vec<Action>) {
        let work = zones.iter().map(|(name, zone)| (name.clone(), self.work(name, zone, 0.0)));
        let mut work: BTreeMap<ZoneId, Vec<f64>> = work.collect();
        for id in waiting {
            let (zone, rate) = (&self.proxies[&id].zone, self.proxies[&id].rate);
            let Some(work) = work.get_mut(zone) else { continue };
            let Some(at) = (0..work.len()).min_by(|a, b| work[*a].total_cmp(&work[*b])) else { continue };
            // All its classes at once: a standing table that is left in use is told of no drain.
            let tables = &zones[zone].slots[at].tables;
            let lines: usize = tables.iter().map(|t| 1 + t.lines.len() + t.levels.len()).sum();
            if tables.iter().all(|t| t.lines.is_empty()) || !self.room(BIND, lines, &[id]) {
                continue;
            }
            work[at] += rate;
            for (group, table) in tables.iter().enumerate() {
                let mask = if self.groups.len() == 1 { 0 } else { self.groups[group].mask };
                out.push(Action::Bind(id, table.id, ClassMask(mask)));
            }
            self.touch(lines, &[id]);
            self.derived.revisions.proxies += 1;
            self.proxies.entry(id).and_modify(|p| (p.slot, p.moves) = (Some(at), false));
        }
    }
}

/// The median loss of those of a zone's hosts that answer: an outlier must stand out against it. 1 where next
/// to none answers (panic threshold): the observer, its zone or an overload is likelier then.
fn usual_loss(rows: &[HealthRow]) -> f64 {
    let (mut total, mut staying, mut losses) = (0.0, 0.0, Vec::with_capacity(rows.len()));
    for row in rows {
        total += row.weight;
        if row.stays {
            staying += row.weight;
            losses.extend(row.loss);
        }
    }
    let panic = staying < PANIC_SHARE * total;
    panic.then_some(1.0).or(median(losses.into_iter())).unwrap_or(0.0)
}
