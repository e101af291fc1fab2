//! Stand-ins and tools on loopback.

fn main() -> std::process::ExitCode {
    alderglade_standin::command::main(std::env::args_os().skip(1))
}
