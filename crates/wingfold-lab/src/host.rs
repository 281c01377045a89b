//! One host: cores that serve a queue, slower while cold, slow, or crowded; and what of it the list and reports show.

use std::collections::VecDeque;
use wingfold_director::interface::{HostId, Micros, Readiness};

/// Requests that may wait for a core, for each core; more are turned away at once.
const QUEUE: usize = 24;

/// What a host does with requests now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    /// Serves.
    Up,
    /// Refuses connections: its process is dead.
    Dead,
    /// Answers nothing, takes no connection.
    Silent,
    /// Takes requests and answers none.
    Hung,
}

/// What it says to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Says {
    /// Begun on a core; done at the time given.
    Begun(Micros),
    /// Waits.
    Waits,
    /// Turned away: surely never ran.
    Refused,
    /// Nothing ever comes.
    Nothing,
}

/// A host.
#[derive(Clone, Debug)]
pub struct Host {
    pub id: HostId,
    pub kind: String,
    pub zone: usize,
    pub cores: usize,
    pub speed: f64,
    pub mood: Mood,
    /// What the list will say of it, sooner or later.
    pub listed: Readiness,
    pub started: Option<Micros>,
    /// Times slower, part of the cores taken by others, part of the answers that are errors.
    pub slower: f64,
    pub taken: f64,
    pub errors: f64,
    /// Attempts that wait and that run, by number, with their work in ms.
    pub queue: VecDeque<(u64, f64)>,
    pub running: usize,
    /// Counts lives: what an earlier one had in hand is gone.
    pub life: u32,
    /// Busy core-time since the last report, and when it was looked at.
    busy: f64,
    looked: Micros,
    /// Work brought while cold, with its time.
    brought: VecDeque<(Micros, f64)>,
}

impl Host {
    pub fn new(id: HostId, kind: &str, zone: usize, cores: usize, speed: f64) -> Host {
        Host {
            id,
            kind: kind.into(),
            zone,
            cores,
            speed,
            mood: Mood::Up,
            listed: Readiness::Ready,
            started: None,
            slower: 1.0,
            taken: 0.0,
            errors: 0.0,
            queue: VecDeque::new(),
            running: 0,
            life: 0,
            busy: 0.0,
            looked: Micros(0),
            brought: VecDeque::new(),
        }
    }

    /// The share of its capacity that it has, by the time since its start.
    pub fn warmth(&self, now: Micros, cold: Micros, start: f64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        (start + (1.0 - start) * now.since(started) / cold.secs().max(1e-3)).min(1.0)
    }

    fn pace(&self, warmth: f64) -> f64 {
        self.speed * warmth * (1.0 - self.taken) / self.slower
    }

    /// A request arrives.
    pub fn take(&mut self, now: Micros, attempt: u64, work_ms: f64, warmth: f64) -> Says {
        match self.mood {
            Mood::Dead => Says::Refused,
            Mood::Silent | Mood::Hung => Says::Nothing,
            Mood::Up if self.running < self.cores => Says::Begun(self.begin(now, work_ms, warmth)),
            Mood::Up if self.queue.len() < QUEUE * self.cores => {
                self.queue.push_back((attempt, work_ms));
                Says::Waits
            }
            Mood::Up => Says::Refused,
        }
    }

    fn begin(&mut self, now: Micros, work_ms: f64, warmth: f64) -> Micros {
        self.look(now);
        self.running += 1;
        Micros(now.0 + (work_ms * 1e3 / self.pace(warmth).max(1e-3)) as u64)
    }

    /// A core is free again: the next attempt, and when it will be done.
    pub fn next(&mut self, now: Micros, warmth: f64) -> Option<(u64, Micros)> {
        self.look(now);
        self.running = self.running.saturating_sub(1);
        if self.mood != Mood::Up {
            return None;
        }
        let (attempt, work) = self.queue.pop_front()?;
        Some((attempt, self.begin(now, work, warmth)))
    }

    fn look(&mut self, now: Micros) {
        self.busy += now.since(self.looked) * self.running as f64;
        self.looked = now;
    }

    /// Busy share of its cores since the last such report.
    pub fn report(&mut self, now: Micros, since: Micros) -> f64 {
        self.look(now);
        let span = now.since(since).max(1e-6) * self.cores as f64;
        let other = self.taken;
        (std::mem::take(&mut self.busy) / span + other).min(1.0)
    }

    /// It goes; what it had in hand is lost.
    pub fn stop(&mut self, now: Micros, mood: Mood) {
        self.look(now);
        (self.mood, self.running) = (mood, 0);
        self.life += 1;
        self.queue.clear();
    }

    /// It comes back, cold.
    pub fn start(&mut self, now: Micros) {
        self.stop(now, Mood::Up);
        (self.started, self.listed) = (Some(now), Readiness::Ready);
        (self.slower, self.taken, self.errors) = (1.0, 0.0, 0.0);
        self.brought.clear();
    }

    /// Work is brought to it while it is cold: how much of what it stands that comes to, as a share of the most.
    pub fn bring(&mut self, now: Micros, work_ms: f64, warmth: f64, factor: f64, over: Micros) -> f64 {
        self.brought.push_back((now, work_ms));
        while self.brought.front().is_some_and(|(at, _)| now.since(*at) > over.secs()) {
            self.brought.pop_front();
        }
        let brought: f64 = self.brought.iter().map(|(_, work)| work).sum();
        let can = self.cores as f64 * self.speed * warmth * over.secs() * 1e3;
        brought / (factor * can).max(1e-9)
    }
}
