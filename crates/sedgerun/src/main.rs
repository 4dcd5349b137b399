//! One head of sedgerun: see `sedgerun::command`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sedgerun::command::main()
}
