//! Settings from flags, variables and defaults; all faults are reported together.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflyd::settings::{
    Role, RoleSettings, SettingFault, Settings, SettingsFaults, UpstreamKind, env_name,
};

type FlagValues<'a> = BTreeMap<&'a str, &'a str>;

const COMMON: [(&str, &str); 6] = [
    ("name", "n1"),
    ("data-centre", "dc1"),
    ("mailbox", "127.0.0.1:0"),
    ("admin-listen", "127.0.0.1:0"),
    ("platform", "http://127.0.0.1:1"),
    ("fleet-keys-file", "keys"),
];

fn entry() -> FlagValues<'static> {
    let mut given = FlagValues::from(COMMON);
    given.extend([("role", "entry"), ("listen", "127.0.0.1:0")]);
    given
}

fn agent() -> FlagValues<'static> {
    let mut given = FlagValues::from(COMMON);
    given.extend([
        ("role", "agent"),
        ("upstream", "http://127.0.0.1:2"),
        ("upstream-kind", "engine"),
        ("upstream-name", "e1"),
    ]);
    given
}

fn plain() -> FlagValues<'static> {
    let mut given = agent();
    given.extend([("upstream-kind", "plain"), ("service", "records")]);
    given
}

fn parse_flags(given: &FlagValues<'_>) -> Result<Settings, SettingsFaults> {
    let flags = given
        .iter()
        .map(|(flag, value)| format!("--{flag}={value}"));
    Settings::parse(["fireflyd".to_owned()].into_iter().chain(flags), [])
}

fn parse_env(given: &FlagValues<'_>) -> Result<Settings, SettingsFaults> {
    let env = given
        .iter()
        .map(|(flag, value)| (env_name(flag), (*value).to_owned()));
    Settings::parse(["fireflyd"], env)
}

fn faults(res: Result<Settings, SettingsFaults>) -> Vec<SettingFault> {
    match res {
        Err(SettingsFaults::Faults(faults)) => faults,
        other => panic!("no faults: {other:?}"),
    }
}

macro_rules! accepted_cases {
    ($($name:ident: $base:expr, $extra:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut given: FlagValues<'_> = $base;
            let extra: &[(&str, &str)] = &$extra;
            given.extend(extra.iter().copied());
            let settings = parse_flags(&given).unwrap();
            assert_eq!(parse_env(&given).unwrap(), settings);
        }
    )*};
}

accepted_cases! {
    a_plain_entry: entry(), [];
    an_entry_with_tls: entry(), [("tls-cert-file", "c"), ("tls-key-file", "k")];
    an_agent_of_an_engine: agent(), [("models", "a,b"), ("capacity-tokens", "9"), ("checks-fence", "true")];
    an_agent_of_a_plain_service: plain(), [];
    an_ipv6_mailbox: entry(), [("mailbox", "[::1]:7000")];
    several_seeds: entry(), [("seeds", "127.0.0.1:1, 127.0.0.1:2")];
    a_small_vm: entry(), [("memory-mb", "32"), ("max-fds", "256")];
    no_drain_grace: entry(), [("drain-grace-ms", "0")];
    an_empty_optional_setting: entry(), [("port-file", "")];
}

macro_rules! refused_cases {
    ($($name:ident: $base:expr, $extra:expr => $flag:expr, $given:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut given: FlagValues<'_> = $base;
            given.extend($extra);
            let given_text: Option<&str> = $given;
            for res in [parse_flags(&given), parse_env(&given)] {
                let faults = faults(res);
                assert_eq!(faults.len(), 1, "{faults:?}");
                assert_eq!(faults[0].flag, $flag);
                assert_eq!(faults[0].given.as_deref(), given_text);
            }
        }
    )*};
}

refused_cases! {
    an_unknown_role: entry(), [("role", "boss")] => "role", Some("boss");
    a_name_with_a_blank: entry(), [("name", "a b")] => "name", Some("a b");
    an_empty_name: entry(), [("name", "")] => "name", Some("");
    a_mailbox_without_port: entry(), [("mailbox", "127.0.0.1")] => "mailbox", Some("127.0.0.1");
    a_mailbox_by_host_name: entry(), [("mailbox", "host:1")] => "mailbox", Some("host:1");
    one_seed_of_two_wrong: entry(), [("seeds", "127.0.0.1:1,x")] => "seeds", Some("127.0.0.1:1,x");
    a_platform_without_scheme: entry(), [("platform", "127.0.0.1:1")] => "platform", Some("127.0.0.1:1");
    a_platform_over_tls: entry(), [("platform", "https://h")] => "platform", Some("https://h");
    a_certificate_alone: entry(), [("tls-cert-file", "c")] => "tls-key-file", None;
    a_tls_key_alone: entry(), [("tls-key-file", "k")] => "tls-cert-file", None;
    a_timeout_of_zero: entry(), [("offer-timeout-ms", "0")] => "offer-timeout-ms", Some("0");
    a_timeout_over_an_hour: entry(), [("retain-ms", "3600001")] => "retain-ms", Some("3600001");
    a_timeout_with_unit: entry(), [("stall-timeout-ms", "1s")] => "stall-timeout-ms", Some("1s");
    a_memory_that_is_too_small: entry(), [("memory-mb", "31")] => "memory-mb", Some("31");
    descriptors_that_are_too_few: entry(), [("max-fds", "255")] => "max-fds", Some("255");
    a_negative_timeout: entry(), [("stall-timeout-ms", "-1")] => "stall-timeout-ms", Some("-1");
    an_unknown_level: entry(), [("log-level", "loud")] => "log-level", Some("loud");
    an_upstream_for_an_entry: entry(), [("upstream", "http://h")] => "upstream", Some("http://h");
    a_listener_for_an_agent: agent(), [("listen", "127.0.0.1:1")] => "listen", Some("127.0.0.1:1");
    an_unknown_kind: agent(), [("upstream-kind", "db")] => "upstream-kind", Some("db");
    a_service_for_an_engine: agent(), [("service", "s")] => "service", Some("s");
    a_plain_upstream_without_service: plain(), [("service", "")] => "service", Some("");
    models_for_a_plain_service: plain(), [("models", "a")] => "models", Some("a");
    models_with_a_gap: agent(), [("models", "a,,b")] => "models", Some("a,,b");
    no_capacity: agent(), [("capacity-tokens", "0")] => "capacity-tokens", Some("0");
    a_fence_answer_that_is_none: agent(), [("checks-fence", "perhaps")] => "checks-fence", Some("perhaps");
}

#[test]
fn all_faults_come_together() {
    let mut given = entry();
    given.remove("name");
    given.remove("fleet-keys-file");
    given.extend([
        ("listen", "nowhere"),
        ("mailbox", "x"),
        ("seeds", "y"),
        ("models", "a"),
        ("drain-grace-ms", "soon"),
        ("log-level", "z"),
    ]);
    let error = parse_flags(&given).unwrap_err();
    assert_eq!(error.exit_status(), 78);
    let text = error.to_string();
    assert!(text.starts_with("code=1001 "), "{text}");
    assert!(
        text.contains("--listen: given \"nowhere\", allowed: IP:port"),
        "{text}"
    );
    assert!(
        text.contains("--name: not given, allowed: 1 to 63 letters"),
        "{text}"
    );
    let flags: Vec<String> = faults(Err(error))
        .into_iter()
        .map(|fault| fault.flag)
        .collect();
    assert_eq!(
        flags,
        [
            "name",
            "listen",
            "mailbox",
            "seeds",
            "fleet-keys-file",
            "models",
            "drain-grace-ms",
            "log-level",
        ]
    );
}

#[test]
fn nothing_given_lists_every_required_setting() {
    let flags: Vec<String> = faults(Settings::parse(["fireflyd"], []))
        .into_iter()
        .map(|fault| fault.flag)
        .collect();
    let want = [
        "role",
        "name",
        "data-centre",
        "mailbox",
        "admin-listen",
        "platform",
        "fleet-keys-file",
    ];
    assert_eq!(flags, want);
}

#[test]
fn a_flag_goes_before_its_variable() {
    let mut args = vec!["fireflyd".to_owned()];
    args.extend(
        entry()
            .iter()
            .map(|(flag, value)| format!("--{flag}={value}")),
    );
    let env = [(env_name("name"), "other".to_owned())];
    assert_eq!(&*Settings::parse(args, env).unwrap().name, "n1");
}

#[test]
fn defaults_are_in_force() {
    let settings = parse_flags(&agent()).unwrap();
    assert_eq!(settings.role(), Role::Agent);
    assert_eq!(&*settings.policy, "firefly");
    assert_eq!(settings.log_level, log::LevelFilter::Info);
    assert_eq!(settings.timeouts.platform, Duration::from_secs(2));
    assert!(!settings.check_config);
    let RoleSettings::Agent(agent) = settings.role else {
        panic!("not an agent");
    };
    assert_eq!(agent.kind, UpstreamKind::Engine);
    assert!(!agent.checks_fence && agent.models.is_empty());
}

macro_rules! usage_cases {
    ($($name:ident: $flag:expr => $status:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = Settings::parse(["fireflyd", $flag], []).unwrap_err();
            assert_eq!(error.exit_status(), $status, "{error}");
        }
    )*};
}

usage_cases! {
    help_is_no_fault: "--help" => 0;
    version_is_no_fault: "--version" => 0;
    an_unknown_flag_is_a_fault: "--no-such" => 78;
    a_bare_word_is_a_fault: "word" => 78;
}

#[test]
fn check_config_is_read_from_flag_and_variable() {
    let mut args = vec!["fireflyd".to_owned(), "--check-config".to_owned()];
    args.extend(
        entry()
            .iter()
            .map(|(flag, value)| format!("--{flag}={value}")),
    );
    assert!(Settings::parse(args, []).unwrap().check_config);
    let mut given = entry();
    given.insert("check-config", "true");
    assert!(parse_env(&given).unwrap().check_config);
}

#[test]
fn help_names_variable_and_default_of_each_flag() {
    let help = Settings::parse(["fireflyd", "--help"], [])
        .unwrap_err()
        .to_string();
    for part in [
        "FIREFLYD_DATA_CENTRE",
        "FIREFLYD_CHECK_CONFIG",
        "[default: 3000]",
        "--checks-fence",
    ] {
        assert!(help.contains(part), "{part} not in {help}");
    }
}
