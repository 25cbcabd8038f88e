//! Drivers and stand-ins of the cases: `review-cases case NAME FOLDER` plays one, and
//! `review-cases engine ...` is an engine that a case starts.
//!
//! Exit codes of a case: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.

mod cases;
mod engine;
mod http;
mod processes;
mod record;
mod site;
mod store;

use std::process::ExitCode;
use std::time::Duration;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let arguments = arguments.iter().map(String::as_str).collect::<Vec<_>>();
    match arguments.as_slice() {
        ["engine", id, address, traits] => {
            let Ok(address) = address.parse() else {
                return ExitCode::from(2);
            };
            match engine::run(id, address, traits) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::from(2),
            }
        }
        ["case", name, folder] => {
            std::thread::spawn(|| {
                std::thread::sleep(LIMIT);
                eprintln!("the case takes too long");
                std::process::exit(2);
            });
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            match cases::play(name, folder, has_trouble) {
                Ok(true) => {
                    println!("the rule held");
                    ExitCode::SUCCESS
                }
                Ok(false) => {
                    println!("the rule was broken");
                    ExitCode::from(1)
                }
                Err(error) => {
                    eprintln!("the case couldn't run: {error}");
                    ExitCode::from(2)
                }
            }
        }
        _ => {
            eprintln!("usage: review-cases case NAME FOLDER");
            ExitCode::from(2)
        }
    }
}
