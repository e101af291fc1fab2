//! The command line for operators.

fn main() -> std::process::ExitCode {
    alderglade_operator::command::main(std::env::args_os().skip(1))
}
