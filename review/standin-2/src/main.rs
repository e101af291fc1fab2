//! Plays a case of the review: the project's daemon as processes on loopback addresses, between stand-ins of clients,
//! workers and the platform's store. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod balancer;
mod copy;
mod host;
mod http;
mod idle;
mod leaving;
mod link;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::{env, fs, process};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [mode, id, end] = &arguments[..]
        && mode == "worker"
    {
        let run = leaving::run_worker(id, end == leaving::LEAVES);
        return run.map_or(ExitCode::FAILURE, |()| ExitCode::SUCCESS);
    }
    let [case, record] = &arguments[..] else {
        eprintln!(
            "usage: review-standin-2 CASE RECORD, in the root of the repository; TROUBLE=0 leaves the disruptions out, TROUBLE=copy and TROUBLE=zone play one of them"
        );
        return ExitCode::from(2);
    };
    let parts = match env::var("TROUBLE").as_deref() {
        Ok("0") => copy::Parts::None,
        Ok("copy") => copy::Parts::Copy,
        Ok("zone") => copy::Parts::Zone,
        _ => copy::Parts::Both,
    };
    let folder = env::temp_dir().join(format!("review-standin-2-{}", process::id()));
    let play = |trouble| copy::play(&folder, Path::new(record), trouble, parts);
    let leave = || {
        let parts = match env::var("TROUBLE").as_deref() {
            Ok("0") => leaving::Parts::None,
            Ok("stop") => leaving::Parts::Stop,
            _ => leaving::Parts::Both,
        };
        leaving::play(&folder, Path::new(record), parts)
    };
    let drop_idle = || {
        let parts = match env::var("TROUBLE").as_deref() {
            Ok("0") => idle::Parts::None,
            Ok("stop") => idle::Parts::Stop,
            Ok("idle") => idle::Parts::Idle,
            _ => idle::Parts::Both,
        };
        idle::play(&folder, Path::new(record), parts)
    };
    let played = fs::create_dir_all(&folder).and_then(|()| match case.as_str() {
        "copy-restart" => play(copy::Trouble::PowerLoss { zone: "muc-a" }),
        "copy-cut" => play(copy::Trouble::Cut { zone: "nue-c" }),
        "leaving" => leave(),
        "idle" => drop_idle(),
        other => Err(std::io::Error::other(format!("unknown case {other}"))),
    });
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&folder);
    }
    match played {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
