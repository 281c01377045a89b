//! One director of the simulation: the real decision module, its capture, and what the site knows of it.

use super::World;
use crate::proxy::HostWeights;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use wingfold_archive::{direct, Disk, Folder};
use wingfold_capture::mirror::Mirror;
use wingfold_capture::{Head, Limits, Queue, Tap};
use wingfold_director::interface::*;
use wingfold_director::Director;

pub(super) struct Controller {
    pub(super) module: Option<Director>,
    pub(super) tap: Option<Tap<Box<dyn Queue>>>,
    pub(super) incarnation: u32,
    pub(super) started: Micros,
    pub(super) stalled: bool,
    pub(super) waiting: Vec<Event>,
    pub(super) mirror: Mirror,
    pub(super) snapshots: BTreeMap<TableId, HostWeights>,
    pub(super) users: BTreeMap<TableId, BTreeSet<usize>>,
    /// When the channel will have sent all that waits, and when each proxy's last message arrives.
    pub(super) free: Micros,
    pub(super) arrives: BTreeMap<usize, Micros>,
    /// Hosts that it was told drain or are gone.
    pub(super) told: BTreeMap<HostId, Micros>,
    pub(super) zone: usize,
}

impl World<'_> {
    pub(super) fn start_director(&mut self, at: usize) -> io::Result<()> {
        let settings = Settings { me: at as u32, ..self.plan.settings.clone() };
        let incarnation = self.directors[at].incarnation + 1;
        let seed = self.seed ^ (at as u64) << 32 ^ u64::from(incarnation) << 48;
        let tap = match self.captures {
            None => None,
            Some(root) => {
                let name = format!("director-{at}");
                let head = Head {
                    build: format!("wingfold {}", env!("CARGO_PKG_VERSION")),
                    name: name.clone(),
                    run: self.now,
                    segment: 0,
                    seed,
                    settings: settings.clone(),
                    classes: self.plan.loads.iter().map(|load| load.name.clone()).collect(),
                };
                let mut folder = Folder::new(root, &name);
                folder.open()?;
                let queue: Box<dyn Queue> = Box::new(direct(folder, head, Limits::default())?);
                Some(Tap::new(queue))
            }
        };
        let director = &mut self.directors[at];
        director.module = Some(Director::new(settings, seed));
        (director.tap, director.incarnation, director.started) = (tap, incarnation, self.now);
        (director.mirror, director.free) = (Mirror::default(), self.now);
        director.snapshots.clear();
        director.users.clear();
        director.told.clear();
        director.waiting.clear();
        director.arrives.clear();
        let known = Event::List(ListKind::Remembered, self.first.clone());
        self.tell(at, vec![known])
    }

    pub(super) fn tell(&mut self, at: usize, events: Vec<Event>) -> io::Result<()> {
        let (now, advice) = (self.now, self.plan.settings.gone_is_advice);
        let director = &mut self.directors[at];
        if director.stalled {
            director.waiting.extend(events);
            return Ok(());
        }
        let Some(module) = &mut director.module else { return Ok(()) };
        for event in &events {
            let Event::List(kind, entries) = event else { continue };
            for entry in entries.iter().filter(|_| *kind != ListKind::Remembered) {
                match entry.readiness {
                    Readiness::Ready => drop(director.told.remove(&entry.host)),
                    Readiness::Gone if advice => {}
                    _ => drop(director.told.entry(entry.host.clone()).or_insert(now)),
                }
            }
        }
        let mut actions = std::mem::take(&mut self.actions);
        actions.clear();
        if let Some(tap) = &mut director.tap {
            tap.before(now, module);
        }
        module.handle(now, &events, &mut actions);
        if let Some(tap) = &mut director.tap {
            tap.after(now, &events, &actions, module.digest());
        }
        self.onlooker.called(at, now, &events, &actions, module);
        self.carry_out(at, &actions);
        self.actions = actions;
        Ok(())
    }
}
