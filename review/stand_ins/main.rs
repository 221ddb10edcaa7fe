//! The cases of the review, each as a small deployment on loopback addresses.
//!
//! usage: review_stand_ins CASE RECORD
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod bodies;
mod channels;
mod common;
mod endless;
mod leaving;
mod repeated;
mod settings;
mod uploads;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        eprintln!("usage: review_stand_ins CASE RECORD");
        std::process::exit(2);
    };
    let record = common::Record::create(record);
    let code = match case.as_str() {
        "bodies" => bodies::run(&record),
        "channels" => channels::run(&record),
        "endless" => endless::run(&record),
        "leaving" => leaving::run(&record),
        "repeated" => repeated::run(&record),
        "settings" => settings::run(&record),
        "uploads" => uploads::run(&record),
        _ => 2,
    };
    std::process::exit(code);
}
