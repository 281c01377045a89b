//! Later builds read what earlier builds have stored: checkpoints and the digest of the settings contain the
//! names that fields and values had when they were first stored, whatever the code calls them now.
mod common;
use common::*;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A checkpoint with [`stored_settings`], which was written before fields and values got their present names
/// in the code. The checkpoint holds hosts in every health state, a removed host, unacknowledged barriers, an
/// admission history and a subset assignment.
const CHECKPOINT: &[u8] = include_bytes!("data/checkpoint-0.1.bin");

/// Settings in which every kind of value differs from its default.
fn stored_settings() -> Settings {
    let mut settings = settings();
    settings.director_index = 1;
    settings.directors = 2;
    settings.admission_mode = AdmissionMode::Rate;
    settings.load_report_source = LoadReportSource::WithHealthChecks;
    settings.health_checks_allowed = true;
    settings.endpoint_list_on_request = true;
    settings.removal_is_advisory = true;
    settings.cross_zone_price = 0.1;
    settings.proxies = 24;
    settings.connection_idle_timeout = seconds(4.0);
    settings.max_messages_per_proxy = 12;
    settings.classes[0].allowed_zones = vec![zone("east"), zone("west")];
    settings.classes[1].own_zone_only = true;
    let deduplicated = class(RepeatSafety::Deduplicated, 0.6, 9.0);
    settings.classes.push(Class { allowed_machine_types: vec!["box".into()], ..deduplicated });
    settings
}

#[test]
fn an_old_checkpoint_is_restored_and_rewritten_byte_by_byte() {
    let director = Director::restore_for(CHECKPOINT, &stored_settings())
        .expect("a checkpoint of an earlier build cannot be restored");
    assert_eq!(director.digest(), 0x0a25_f269_027e_5eb6);
    assert_eq!(director.checkpoint(), CHECKPOINT);
}

#[test]
fn settings_digests_do_not_change() {
    assert_eq!(stored_settings().digest(), 0xf83f_90c8_ed51_d502);
    assert_eq!(settings().digest(), 0x0196_a05c_446c_6284);
    let other_modes = Settings {
        admission_mode: AdmissionMode::Ignored,
        load_report_source: LoadReportSource::Never,
        ..settings()
    };
    assert_eq!(other_modes.digest(), 0x372c_4e17_3b8a_aeeb);
}
