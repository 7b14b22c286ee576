//! The documented table of result codes agrees with the code.

use fireflycroft::{Class, Code};

const TABLE: &str = include_str!("../../docs/RESULT-CODES.md");

fn row(code: Code) -> Option<Vec<&'static str>> {
    let head = format!("| {} |", code.number());
    let line = TABLE.lines().find(|line| line.starts_with(&head))?;
    Some(line.split('|').map(str::trim).collect())
}

#[test]
fn every_code_stands_in_the_docs() {
    for code in Code::ALL {
        let row = row(*code).unwrap_or_else(|| panic!("{} is not in the table", code.number()));
        assert_eq!(row[3], code.status().to_string(), "{}", code.number());
        assert_eq!(row[4], code.phrase(), "{}", code.number());
    }
}

#[test]
fn the_docs_list_no_other_code() {
    let numbers = TABLE
        .lines()
        .filter_map(|line| line.strip_prefix("| ")?.split(' ').next()?.parse().ok());
    for number in numbers {
        assert!(
            Code::from_number(number).is_some(),
            "{number} is not a known code"
        );
    }
}

macro_rules! class_of {
    ($($name:ident: $code:ident is $class:ident;)+) => {
        $(#[test]
        fn $name() {
            assert_eq!(Code::$code.class(), Class::$class);
        })+
    };
}

class_of! {
    settings_concern_operators: BadSettings is Operator;
    a_refusal_was_not_run: Overloaded is NotRun;
    a_broken_answer_ran: UpstreamFailed is Ran;
    lost_contact_is_unknown: OutcomeUnknown is Unknown;
    an_unknown_stream_is_unknown: StreamUnknown is Unknown;
}
