//! What is sent when: the changes of each table by their priority, as far as the send capacity allows.
use crate::director::Director;
use crate::incremental::{TableInputs, ZoneTableInputs, NEVER};
use crate::interface::{Action, ClassId, Retry};
use crate::policy::outlier_detection::COMMON_LOSS_RATIO;
use crate::policy::ranking::RANKING_COOLDOWN_S;
use crate::policy::send_capacity::{
    PushPriority, ASSIGNMENT_PRIORITY, BARRIER_INTERVAL_RATIO, DRAIN_PRIORITY, HEALTH_PRIORITY,
    ORDINARY_PRIORITY, STANDBY_PRIORITY,
};
use crate::policy::subsetting::MIN_REQUESTS_PER_CONNECTION;
use crate::state::{subsets_by_last_sent, ByZone, EntryChange, HealthState, Zone};

/// The retry policy of every class: proof that an attempt never ran makes a retry safe, whatever its
/// effect. After any other failure a retry would come after the latency objective, and double the work just
/// when hosts are short of it.
const RETRY_POLICY: Retry = Retry::OnProof;
/// Weights that differ by less than this ratio are not sent.
const WEIGHT_CHANGE_RATIO: f64 = 0.02;
/// Ratio of the drain grace after which proxies that wait for their tables go before tables in use.
const JOIN_PRIORITY_AFTER_GRACE_RATIO: f64 = 0.2;

impl Director {
    pub(crate) fn reconcile_tables(&mut self, zones: &mut ByZone<Zone>, out: &mut Vec<Action>) {
        self.expire_barriers();
        // Who was sent nothing for longest goes first: where the channel is short none must wait for ever.
        let waiting = self.proxies_awaiting_assignment();
        let shared = self.zone_table_inputs(zones, &waiting);
        for (name, at) in subsets_by_last_sent(zones) {
            let Some(zone) = zones.get_mut(&name) else { continue };
            (0..self.class_groups.len())
                .for_each(|group| self.push_changes(zone, &shared[&name], group, at, out));
        }
        self.update_changed_expected_shares(zones, 1e-3);
        if !waiting.is_empty() {
            self.assign_proxies(zones, waiting, out);
        }
        self.finish_messages(BARRIER_INTERVAL_RATIO * self.in_flight_limit(DRAIN_PRIORITY), out);
    }

    /// Sends the differences of a table for a group of classes if the most urgent may go now, and then as
    /// many new spares as there is room for.
    fn push_changes(
        &mut self,
        zone: &mut Zone,
        shared: &ZoneTableInputs,
        group: usize,
        at: usize,
        out: &mut Vec<Action>,
    ) {
        let (usable, users, waiting) =
            (&shared.eligible[group], &shared.proxies_by_subset[at], shared.waiting_proxies);
        let own =
            (0..self.settings.classes.len()).filter(|at| self.class_groups[group].classes >> at & 1 == 1);
        let wanted: Vec<_> = own.map(|at| (ClassId(at), shared.admission_levels[at])).collect();
        // Spares are a luxury: joiners must not wait for them, nor may they cost connections that run short.
        let joins = self.send_queue.queued_lines + (waiting * usable.len() * self.class_groups.len()) as f64;
        let crowded = waiting > 0 && joins > self.in_flight_limit(ORDINARY_PRIORITY);
        // Those that the channel can't lay within a cooldown would never be whole, and hold up all that is.
        let laid_by = (self.proxies.len() * usable.len() * self.class_groups.len()) as f64
            / self.settings.send_rate_lines_per_s;
        let spared = laid_by <= RANKING_COOLDOWN_S
            && !crowded
            && zone.requests_per_connection <= MIN_REQUESTS_PER_CONNECTION;
        let (slot, table) = (&zone.subsets[at], &zone.subsets[at].tables[group]);
        let inputs = TableInputs::new(shared, slot, table, zone.baseline_loss >= COMMON_LOSS_RATIO, spared);
        if table.up_to_date.is_current(&inputs, self.now) {
            return;
        }
        let plan = self.plan_table(zone, shared, group, slot, table.peak_weight);
        let (mut changes, mut levels) = table.changes_to(&plan, spared, &wanted, WEIGHT_CHANGE_RATIO);
        let spares = if spared { plan.missing_standby_entries(table) } else { Vec::new() };
        let urgent = changes.iter().map(|change| self.change_priority(zone, change));
        // In a crowd the joiners' part of the channel is for all: tables that stand still jam hosts. Joiners
        // have it for themselves once the first of them has waited for a good part of its grace.
        let least = if crowded
            && shared.longest_wait_s < JOIN_PRIORITY_AFTER_GRACE_RATIO * self.settings.drain_grace.secs()
        {
            ASSIGNMENT_PRIORITY
        } else {
            ORDINARY_PRIORITY
        };
        let urgency = urgent.fold(least, |a, b| if b > a { b } else { a });
        let (mut anew, mut count) = (false, changes.len() + levels.len());
        let settled = count == 0 && spares.is_empty();
        // A table that none holds yet costs nothing: it must be whole before a proxy is bound.
        let short = 1 + plan.active_entries().count() + wanted.len();
        let shorter = short < count && (crowded || urgency == DRAIN_PRIORITY);
        let tight = shorter || !self.has_capacity(urgency, count, users);
        if count > 0 && !users.is_empty() && tight {
            // Where there is no room for all, a table is laid anew without spares if that is shorter;
            // else what is urgent must not wait for the rest, but for new lines: a table was left empty.
            anew = short < count && self.has_capacity(urgency, short, users);
            if anew {
                (changes, levels, count) = (plan.full_table_changes(), wanted.clone(), short);
            } else {
                changes.retain(|change| change.adds_entry() || self.change_priority(zone, change) == urgency);
                (levels, count) = (Vec::new(), changes.len());
                if urgency == ORDINARY_PRIORITY || !self.has_capacity(urgency, count, users) {
                    return;
                }
            }
        }
        if anew {
            zone.standby_paused_until = self.seconds_from_now(RANKING_COOLDOWN_S);
        } else if waiting == 0
            && self.now >= zone.standby_paused_until
            && self.has_capacity(STANDBY_PRIORITY, count + 1, users)
        {
            let room = (self.in_flight_limit(STANDBY_PRIORITY) - self.send_queue.queued_lines)
                / users.len().max(1) as f64;
            let most = (room - self.message_head_lines()) as usize;
            changes.extend(spares.into_iter().take(most.saturating_sub(count)));
            count = changes.len() + levels.len();
        }
        let table = &mut zone.subsets[at].tables[group];
        table.peak_weight = plan.peak_weight;
        if anew {
            out.push(Action::ClearTable(table.id));
            table.clear();
        }
        out.extend(table.actions(&changes, &levels, RETRY_POLICY));
        table.record_sent(changes, levels);
        if settled {
            table.up_to_date.record(inputs.with_peak_weight(table.peak_weight), NEVER);
        }
        if count > 0 {
            self.record_messages(count, users);
            (zone.tables_changed, zone.subsets[at].last_sent_at) = (true, self.now);
        }
    }

    /// How urgent a change of a line is: a cold host has its budget from the start, so its old share goes.
    fn change_priority(&self, zone: &Zone, change: &EntryChange) -> PushPriority {
        let out = || {
            zone.host_stats.get(&change.host).is_some_and(|p| matches!(p.health, HealthState::Ejected { .. }))
        };
        match change.lowers_weight().then(|| &self.hosts[&change.host]) {
            Some(host) if !host.is_ready() => DRAIN_PRIORITY,
            Some(host) if out() || self.age_in_warm_ups(host) < 1.0 => HEALTH_PRIORITY,
            _ => ORDINARY_PRIORITY, // Only hosts that are ready get more.
        }
    }
}
