//! Runs one stand-in until the process is ended.

use super::{Failure, Options};
use crate::batch;
use crate::engine::{Engine, Setup};
use crate::platform::Platform;
use crate::service::Service;
use std::time::Duration;

const ANY_PORT: &str = "127.0.0.1:0";
const LAG: Duration = Duration::from_millis(300);

pub(super) fn platform(options: &Options) -> Result<(), Failure> {
    let platform = Platform::start(&options.text("address", ANY_PORT));
    serve(&platform.address())
}

pub(super) fn engine(options: &Options) -> Result<(), Failure> {
    let defaults = batch::Config::default();
    let kv_tokens = options.number("kv-tokens", defaults.kv_tokens as f64)? as u64;
    let engine = Engine::start(&Setup {
        name: options.text("name", "engine").into(),
        address: options.text("address", ANY_PORT),
        batch: batch::Config {
            kv_tokens,
            ..defaults
        },
        scale: options.number("scale", 1.0)?,
        lag: LAG,
        checks_orders: true,
    });
    serve(&engine.address())
}

pub(super) fn service(options: &Options) -> Result<(), Failure> {
    let service = Service::start(&options.text("address", ANY_PORT));
    serve(&service.address())
}

fn serve(address: &str) -> Result<(), Failure> {
    println!("{{\"address\": \"{address}\"}}");
    loop {
        std::thread::sleep(Duration::from_secs(3_600));
    }
}
