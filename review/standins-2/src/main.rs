//! Cases of the second review. Each plays a small deployment on loopback addresses and says by its exit status whether a
//! rule was broken (1), held (0), or the case couldn't run (2).

mod back_from_a_copy;
mod cold_engines;
mod crashing_request;
mod engine;
mod fleet;
mod http;
mod late_crash;
mod lost_answers;
mod site;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let played = match case.as_str() {
        "crashing-request" => crashing_request::play(record, trouble),
        "back-from-a-copy" => back_from_a_copy::play(record, trouble),
        "cold-engines" => cold_engines::play(record, trouble),
        "late-crash" => late_crash::play(record, trouble),
        "lost-answers" => lost_answers::play(record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
