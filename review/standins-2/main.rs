//! Stand-ins and cases of the second review. Usage: `review-2 CASE`. A case ends with 1 if the rule was
//! broken, 0 if it held and 2 if it could not run. `TROUBLE=0` leaves the disruption out, and `RECORD`
//! names the file for the record.

mod backend;
mod endless_answers;
mod http;
mod late_heartbeat;
mod moved_store;
mod relay;
mod store;
mod world;

/// Result of a case that ran: whether the rule was broken.
pub type Verdict = Result<bool, String>;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = || match name.as_str() {
        "endless-answers" => endless_answers::run(trouble),
        "late-heartbeat" => late_heartbeat::run(trouble),
        "moved-store" => moved_store::run(trouble),
        _ => Err(format!("unknown case {name:?}")),
    };
    // A stand-in that panics could not run the case.
    let verdict =
        std::panic::catch_unwind(run).unwrap_or_else(|_| Err("a stand-in panicked".to_owned()));
    match verdict {
        Ok(broken) => std::process::exit(i32::from(broken)),
        Err(why) => {
            eprintln!("the case could not run: {why}");
            std::process::exit(2);
        }
    }
}
