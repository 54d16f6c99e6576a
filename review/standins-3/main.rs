//! Cases of the third review that are no day of the bench. Usage: `cases CASE FOLDER`, from the
//! repository's root. Writes `FOLDER/record.txt`. Exits with 1 if the rule was broken, with 0 if it
//! held and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod added_machine;
mod foreign_heartbeat;
mod forgotten_crashes;
mod forgotten_leaving;
mod nested_calls;
mod site;

use std::path::Path;

use site::{Guard, Record};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let folder = Path::new(&args[2]);
    let record = Record::create(&folder.join("record.txt"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(format!("case={} trouble={trouble}", args[1]));
    let dir = std::env::temp_dir().join(format!("case-{}-{}", args[1], std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    Guard::start(&dir);
    let run = || match args[1].as_str() {
        "added-machine" => added_machine::run(&dir, &record, trouble),
        "forgotten-crashes" => forgotten_crashes::run(&dir, &record, trouble),
        "nested-calls" => nested_calls::run(&dir, &record, trouble),
        "forgotten-leaving" => forgotten_leaving::run(&dir, &record, trouble),
        "foreign-heartbeat" => foreign_heartbeat::run(&dir, &record, trouble),
        other => Verdict::NotRun(format!("there is no case {other}")),
    };
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    let verdict = ended.unwrap_or_else(|_| Verdict::NotRun("a stand-in failed".to_owned()));
    Guard::end();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        eprintln!("kept {}", dir.display());
    }
    let code = match verdict {
        Verdict::Held => {
            record.line("verdict: the rule held");
            0
        }
        Verdict::Broken => {
            record.line("verdict: the rule was broken");
            1
        }
        Verdict::NotRun(why) => {
            record.line(format!("verdict: the case could not run: {why}"));
            2
        }
    };
    std::process::exit(code);
}
