//! Run a case of the review against the project's own processes. See `review/REPORT-2.md`.
//!
//! usage: stand_ins CASE DIR TEMP, with `TROUBLE=0` in the environment for a run without the
//! disruption, and `TROUBLE=part` for one with only a part of it, where a case has parts. The exit
//! code is 1 if the rule was broken, 0 if it held, 2 if the case can't run.

mod copies;
mod engine;
mod entries;
mod gateway;
mod http;
mod plain;
mod record;
mod routes;
mod store;
mod tickets;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;

/// The outcome of a case.
pub enum Outcome {
    Broken,
    Held,
    CannotRun,
}

/// The disruption of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    Part,
    All,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir, temp] = &args[..] else {
        eprintln!("usage: stand_ins CASE DIR TEMP");
        return ExitCode::from(2);
    };
    let trouble = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Trouble::None,
        Ok("part") => Trouble::Part,
        _ => Trouble::All,
    };
    let (dir, temp) = (Path::new(dir), Path::new(temp));
    let record = Arc::new(Record::create(dir));
    record.note(format!("case {case}, disruption: {trouble:?}"));
    let outcome = match case.as_str() {
        "copies" => copies::run(temp, trouble != Trouble::None, &record),
        "entries" => entries::run(temp, trouble != Trouble::None, &record),
        "routes" => routes::run(temp, trouble, &record),
        "tickets" => tickets::run(temp, trouble != Trouble::None, &record),
        _ => Outcome::CannotRun,
    };
    let (text, code) = match outcome {
        Outcome::Broken => ("the rule was broken", 1),
        Outcome::Held => ("the rule held", 0),
        Outcome::CannotRun => ("the case could not run", 2),
    };
    record.note(text);
    ExitCode::from(code)
}
