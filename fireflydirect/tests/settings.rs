//! Parsing of the settings from flags.

use fireflycroft::Mechanism;
use fireflydirect::settings::Settings;

macro_rules! cases {
    ($($name:ident => $body:expr;)+) => {
        $(
            #[test]
            fn $name() {
                $body
            }
        )+
    };
}

cases! {
    all_mechanisms_are_on => assert_eq!(parse(&[]).unwrap().disabled, []);
    mechanisms_are_switched_off_by_word => switches_off();
    unknown_mechanism_is_refused => refuses_unknown();
}

fn parse(args: &[&str]) -> Result<Settings, clap::Error> {
    let first = ["fireflydirect", "--settings-file", "node.json"];
    Settings::parse(first.iter().chain(args))
}

fn switches_off() {
    let settings = parse(&["--without", "copies,overlap"]).unwrap();
    assert_eq!(settings.disabled, [Mechanism::Backups, Mechanism::Hedging]);
    assert_eq!(settings.disabled_names(), "copies,overlap");
    assert!(!settings.policy().uses(Mechanism::Backups));
    assert!(settings.policy().uses(Mechanism::Migrations));
}

fn refuses_unknown() {
    let fault = parse(&["--without", "gravity"]).unwrap_err().to_string();
    assert!(
        fault.contains("gravity") && fault.contains("departures"),
        "{fault}"
    );
}
