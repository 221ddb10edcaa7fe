//! Run one case of the review: `CASE FOLDER`. Without the disruption if `TROUBLE=0`.

mod cut_bodies;
mod early_answers;
mod kit;
mod missed_removal;

use std::path::Path;
use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: {} CASE FOLDER", args[0]);
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temp = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("a temporary folder");
    let folder = Path::new(folder);
    let result = match case.as_str() {
        "cut-bodies" => cut_bodies::run(folder, &temp, trouble),
        "early-answers" => early_answers::run(folder, &temp, trouble),
        "missed-removal" => missed_removal::run(folder, &temp, trouble),
        _ => Ok(2),
    };
    std::fs::remove_dir_all(&temp).ok();
    match result {
        Ok(code) => exit(code),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            exit(2)
        }
    }
}
