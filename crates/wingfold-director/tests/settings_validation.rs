//! Settings that no director can work with are rejected, with an error that names the setting, its value and
//! the bound.
mod common;
use common::*;
use wingfold_director::interface::*;

/// The validation error of the settings after `change`.
fn validation_error(change: impl Fn(&mut Settings)) -> String {
    let mut changed = settings();
    change(&mut changed);
    changed.validate().expect_err("validation accepts settings that are out of bounds").to_string()
}

#[test]
fn settings_within_all_bounds_are_valid() {
    assert_eq!(settings().validate(), Ok(()));
    assert_eq!(Settings::default().validate(), Ok(()));
    let zones = (0..4096).map(|index| zone(&format!("zone-{index}"))).collect();
    let longest = Micros(u64::MAX / 4);
    let largest = Settings { zones, proxies: 100_000, warm_up: longest, ..settings() };
    assert_eq!(largest.validate(), Ok(()));
}

#[test]
fn an_error_names_the_setting_its_value_and_the_bound() {
    let error = validation_error(|settings| settings.zones.push(zone("east")));
    assert_eq!(error, "zone \"east\" is listed twice");
    let error = validation_error(|settings| {
        settings.zones = (0..4097).map(|index| zone(&format!("zone-{index}"))).collect();
    });
    assert_eq!(error, "4097 zones are more than the 4096 that a director can hold");
    let error = validation_error(|settings| settings.classes = vec![settings.classes[0].clone(); 65]);
    assert_eq!(error, "65 classes are more than the 64 that a director can hold");
    let error = validation_error(|settings| settings.proxies = 100_001);
    assert_eq!(error, "100001 proxies are more than the 100000 that a director can hold");
    let error = validation_error(|settings| {
        settings.proxies = 50_000;
        settings.classes = vec![settings.classes[0].clone(); 21];
    });
    assert_eq!(
        error,
        "50000 proxies with 21 classes may need 1050000 tables, \
         more than the 1000000 that a director can hold"
    );
    let error = validation_error(|settings| settings.report_period = Micros(u64::MAX));
    assert_eq!(
        error,
        "the setting report_period is 18446744073709551615 us, at most 4611686018427387903 us are expected"
    );
    let error = validation_error(|settings| settings.classes[1].deadline = Micros(u64::MAX));
    assert!(error.starts_with("the setting classes[1].deadline is"), "{error}");
    let error = validation_error(|settings| settings.overload_factor = f64::NAN);
    assert_eq!(error, "the setting overload_factor is NaN, a finite number is expected");
    let error = validation_error(|settings| settings.classes[0].priority_weight = f64::INFINITY);
    assert_eq!(error, "the setting classes[0].priority_weight is inf, a finite number is expected");
}
