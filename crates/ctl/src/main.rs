//! The command-line tool `pimentorock`.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use pimentorock_ctl::{environment::ToolEnvironment, output::ToolOutput, run};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("pimentorock: {error}");
            return ExitCode::FAILURE;
        }
    };
    let environment = ToolEnvironment::with_process_variables();
    let mut output = ToolOutput::new();
    let code = runtime.block_on(run(&args, &environment, &mut output));
    // A closed pipe, for example because `head` exited, does not change the exit code.
    _ = io::stdout().write_all(output.stdout.as_bytes());
    _ = io::stderr().write_all(output.stderr.as_bytes());
    ExitCode::from(code)
}
