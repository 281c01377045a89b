//! What is stored is read by later builds: a checkpoint and the digest of settings hold the names that the records had
//! when they were first written, whatever the code calls them now.
mod common;
use common::*;
use wingfold_director::interface::*;
use wingfold_director::Director;

/// A checkpoint under [`stored_settings`], written before the records got their present names. It holds hosts in every
/// state, a removed host, unacknowledged barriers, admission history and a subset assignment.
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
    let keyed = class(RepeatSafety::Deduplicated, 0.6, 9.0);
    settings.classes.push(Class { allowed_machine_types: vec!["box".into()], ..keyed });
    settings
}

#[test]
fn a_checkpoint_of_an_earlier_build_is_restored_and_written_again_byte_by_byte() {
    let director = Director::restore_for(CHECKPOINT, &stored_settings()).expect("an earlier build wrote it");
    assert_eq!(director.digest(), 0x0a25_f269_027e_5eb6);
    assert_eq!(director.checkpoint(), CHECKPOINT);
}

#[test]
fn the_digest_of_settings_keeps_its_value() {
    assert_eq!(stored_settings().digest(), 0xf83f_90c8_ed51_d502);
    assert_eq!(settings().digest(), 0x0196_a05c_446c_6284);
    let others = Settings {
        admission_mode: AdmissionMode::Ignored,
        load_report_source: LoadReportSource::Never,
        ..settings()
    };
    assert_eq!(others.digest(), 0x372c_4e17_3b8a_aeeb);
}
