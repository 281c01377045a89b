//! Each event of the protocol is read.

use super::*;

#[test]
fn each_event_line_is_read_as_its_event() {
    let names = ReportNames {
        classes: vec!["score".into(), "verdict".into()],
        load_fields: vec!["cpu_share".into(), "busy_reqs".into(), "svc_ms".into(), "pending".into()],
    };
    let read = |line: &str| {
        let mut fields = Fields::new(line);
        let event = read_event(&mut fields, &names).expect(line);
        fields.end().expect(line);
        format!("{event:?}")
    };
    let cases = [
        ("wakeup\t77", "TimerFired(77)"),
        ("probe_result\t3\t9\th:1\t-", "Rejected"),
        ("probe_result\t5\t9\th:1\t-", "Failed"),
        ("probe_result\t1\t9\th:1\t0.62,7,14.5,-", "utilization: Some(0.62), service_ms: Some(14.5)"),
        ("message\t2\taGkgNw==", "PeerMessage { from: 2, message: [104, 105, 32, 55] }"),
        (
            "subscribed\tn\t6.5\t1\t41",
            "ProxyConnected { proxy: ProxyId(41), zone: ZoneId(\"n\"), requests_per_s: 6.5 }",
        ),
        ("parted\t41", "ProxyDisconnected(ProxyId(41))"),
        (
            "roundup\tn\th:1\t14\t1\t48250\t1000000\t-",
            "AttemptCounts { total: 14, failed: 1, period: Micros(1000000) }",
        ),
        ("usage\t41\tverdict\t9\t0\t2000000", "Usage { proxy: ProxyId(41), class: ClassId(1)"),
        (
            "installed\t41\t12\t412500",
            "Acknowledged { proxy: ProxyId(41), barrier: 12, elapsed: Micros(412500) }",
        ),
        ("key_load\t117\tscore\t23\t2\t1000000", "Shard"),
        ("charge\t117\t1", "Shard"),
        ("held\th:1\t0.5\t117", "Shard"),
    ];
    for (line, expected) in cases {
        assert!(read(line).contains(expected), "{line}: {}", read(line));
    }
}
