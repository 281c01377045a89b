//! Each action is written as its line of the protocol.

use super::*;
use std::sync::Arc;
use wingfold_director::interface::{ClassMask, HostId, Notice, ProxyId, Retry, TableId, Timestamp};

/// Checks that each action is written as the line beside it.
fn assert_all_written(cases: &[(Action, &str)]) {
    for (action, line) in cases {
        let mut out = String::new();
        write_action(&mut out, action);
        assert_eq!(out, *line);
    }
}

fn host() -> HostId {
    HostId(Arc::from("10.144.17.242:7044"))
}

#[test]
fn list_timer_and_message_actions_give_protocol_lines() {
    let cases = [
        (Action::WatchEndpoints(true), "listen\t1\n"),
        (Action::WatchEndpoints(false), "listen\t0\n"),
        (Action::FetchEndpoints, "get_list\n"),
        (Action::SetTimer { at: Timestamp(8_912_250), token: 77 }, "timer\t8912250\t77\n"),
        (Action::CheckHealth(host()), "sample\t10.144.17.242:7044\n"),
        (Action::SendToPeer { to: None, message: b"hi 7".to_vec() }, "broadcast_to\t-1\taGkgNw==\n"),
        (Action::SendToPeer { to: Some(2), message: Vec::new() }, "broadcast_to\t2\t-\n"),
        (Action::Barrier { all_proxies: false, number: 12 }, "ask_receipt\t0\t12\n"),
        (Action::Notice(Notice::Recorded("two\tservers\nknown".into())), "debug\ttwo servers known\n"),
    ];
    assert_all_written(&cases);
}

#[test]
fn table_actions_give_protocol_lines() {
    let cases = [
        (
            Action::SetEntry { table: TableId(117), host: host(), weight: 0.75 },
            "assign\t117\t10.144.17.242:7044\t0.75\n",
        ),
        (
            Action::SetEntry { table: TableId(117), host: host(), weight: 0.0 },
            "assign\t117\t10.144.17.242:7044\t0\n",
        ),
        (Action::ClearTable(TableId(117)), "truncate\t117\n"),
        (
            Action::AssignTable { proxy: ProxyId(41), table: TableId(117), classes: ClassMask(0) },
            "bind\t41\t117\t0\n",
        ),
        (Action::SetEjected { host: host(), ejected: true }, "hold_back\t1\t10.144.17.242:7044\n"),
    ];
    assert_all_written(&cases);
}

#[test]
fn admission_actions_give_protocol_lines() {
    let mask = ClassMask(2);
    let cases = [
        (
            Action::SetAdmission {
                table: Some(TableId(117)),
                classes: mask,
                level: 0.75,
                retry: Retry::OnProof,
            },
            "allow\t2\t0.75\t117\t1\n",
        ),
        (
            Action::SetAdmission { table: None, classes: mask, level: 1.0, retry: Retry::Never },
            "allow\t2\t1\t65535\t0\n",
        ),
        (
            Action::SetAdmission { table: None, classes: mask, level: 1.0, retry: Retry::Once },
            "allow\t2\t1\t65535\t2\n",
        ),
        (
            Action::SetAdmission { table: None, classes: mask, level: 1.0, retry: Retry::Twice },
            "allow\t2\t1\t65535\t3\n",
        ),
    ];
    assert_all_written(&cases);
}
