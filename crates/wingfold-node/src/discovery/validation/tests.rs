use super::*;
use crate::list::tests::read_list;

fn complete(version: u64, hosts: &[&str]) -> EndpointListResponse {
    response(version, true, hosts)
}

fn changes(version: u64, hosts: &[&str]) -> EndpointListResponse {
    response(version, false, hosts)
}

fn response(version: u64, is_complete: bool, hosts: &[&str]) -> EndpointListResponse {
    let entry = |host: &&str| format!(r#"{{"id":"{host}","addr":"a:1","zone":"a","state":"active"}}"#);
    let entries: Vec<String> = hosts.iter().map(entry).collect();
    let entries = entries.join(",");
    let body = format!(r#"{{"version":{version},"full":{is_complete},"servers":[{entries}]}}"#);
    read_list(body.as_bytes()).unwrap()
}

/// The state after a complete list of this version with one host was cached.
fn cached(version: u64) -> CachedListState {
    CachedListState::new(Some(&complete(version, &["s-1"])))
}

#[test]
fn an_older_complete_list_is_accepted_after_three_rejections() {
    let mut list = cached(7);
    for _ in 0..3 {
        let error = list.check(&complete(6, &["s-1"]), None).unwrap_err();
        assert!(matches!(error, EndpointListError::Older { version: 6, cached: 7 }), "{error}");
    }
    assert!(list.check(&complete(6, &["s-1"]), None).is_ok());
}

#[test]
fn an_accepted_response_resets_the_count_of_older_lists() {
    let mut list = cached(7);
    for _ in 0..5 {
        assert!(list.check(&complete(6, &["s-1"]), None).is_err());
        let newer = changes(8, &["s-2"]);
        list.check(&newer, Some(7)).unwrap();
        list.record_accepted(&newer);
    }
}

#[test]
fn an_empty_complete_list_is_rejected_if_hosts_were_listed() {
    let mut list = CachedListState::new(None);
    let empty = complete(1, &[]);
    assert!(list.check(&empty, None).is_ok());
    list.record_accepted(&empty);
    assert!(list.check(&empty, None).is_ok());
    list.record_accepted(&complete(2, &["s-1"]));
    assert!(matches!(list.check(&complete(3, &[]), None), Err(EndpointListError::Empty)));
}

#[test]
fn changes_older_than_requested_require_the_complete_list() {
    let mut list = cached(7);
    assert_eq!(list.version_to_watch(), Some(7));
    let error = list.check(&changes(5, &[]), Some(7)).unwrap_err();
    assert!(matches!(error, EndpointListError::Behind { version: 5, after: 7 }), "{error}");
    assert_eq!(list.version_to_watch(), None);
    list.record_accepted(&changes(8, &[]));
    assert_eq!(list.version_to_watch(), None, "changes do not include the missing versions");
    list.record_accepted(&complete(8, &["s-1"]));
    assert_eq!(list.version_to_watch(), Some(7));
}

#[test]
fn another_discovery_address_starts_without_the_flags_of_the_old_one() {
    let mut list = cached(7);
    list.check(&changes(6, &["s-1"]), Some(7)).unwrap_err();
    list.check(&complete(6, &["s-1"]), None).unwrap_err();
    list.forget_version();
    list.version = Some(9);
    assert_eq!(list.version_to_watch(), Some(9));
    for _ in 0..3 {
        list.check(&complete(8, &["s-1"]), None).unwrap_err();
    }
    assert!(list.check(&complete(8, &["s-1"]), None).is_ok());
}
