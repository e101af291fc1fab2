//! The daemon of an entry host.

fn main() -> std::process::ExitCode {
    alderglade::entry::main(std::env::args_os().skip(1))
}
