//! Health checks: which hosts are asked for their load.
use crate::director::Director;
use crate::interface::{Action, HostId, LoadReportSource};
use crate::policy::subsetting::MIN_SAMPLE_HOSTS;

/// Directors that may check every host each time: a check costs the host work. Where there are more
/// directors, each checks a random sample of the hosts.
const DIRECTORS_PER_HEALTH_CHECK: f64 = 2.0;

impl Director {
    /// Requests health checks, where hosts report their load in no other way.
    pub(crate) fn request_health_checks(&mut self, actions: &mut Vec<Action>) {
        let are_needed = self.settings.health_checks_allowed
            && self.settings.load_report_source == LoadReportSource::WithHealthChecks;
        if !are_needed {
            return;
        }
        let ready_hosts: Vec<HostId> = self.ready_hosts().map(|(id, _)| id.clone()).collect();
        let own_ratio = DIRECTORS_PER_HEALTH_CHECK / f64::from(self.settings.directors);
        let sample_ratio = own_ratio.max(MIN_SAMPLE_HOSTS / ready_hosts.len() as f64);
        for host in ready_hosts {
            if self.next_random() < sample_ratio {
                actions.push(Action::CheckHealth(host));
            }
        }
    }
}
