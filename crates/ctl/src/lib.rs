/*!
The command-line tool of pimentorock.

[`run`] takes the command-line arguments of one call and collects its output, so that tests can
drive the tool without starting a process. The binary `pimentorock` is a thin wrapper around
[`run`].

# Modules

* `options` declares all commands and options; `commands` contains one file for each command.
* `config_session` replays the platform's `config` stream. The replay decides whether a change is
  accepted with the same code as every daemon, so the tool prints the same verdict.
* `process_client` sends requests to the operator interface of daemon processes.
* `change_file` turns a settings file into edits of paths.
* `saved_logs` merges saved log lines of several processes.
* `burn_report` and `burn_plot` compute and plot the burn rates of service-level targets.
* [`exit_code`] documents the exit codes.

# Example

```
use pimentorock_ctl::{environment::ToolEnvironment, exit_code, output::ToolOutput, run};

# tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
let mut output = ToolOutput::new();
let args = ["settings", "check", "no-such-file.jsonc"].map(String::from);
let code = run(&args, &ToolEnvironment::new(), &mut output).await;
assert_eq!(code, exit_code::USAGE);
assert!(output.stderr.contains("no-such-file.jsonc"));
# });
```
*/

pub mod environment;
pub mod exit_code;
pub mod output;

mod burn_plot;
mod burn_report;
mod change_file;
mod commands;
mod config_session;
mod confirm;
mod context;
mod difference_text;
mod error;
mod options;
mod process_client;
mod saved_logs;
mod stream_read;
mod submit;
mod table;
mod time_text;
mod usage_session;

use bpaf::{Args, ParseFailure};

use crate::{
    context::ToolContext,
    environment::ToolEnvironment,
    options::{move_common_options_first, tool_options},
    output::ToolOutput,
};

/// Runs one call of the tool and returns its [exit code](exit_code).
pub async fn run(args: &[String], environment: &ToolEnvironment, output: &mut ToolOutput) -> u8 {
    let args = move_common_options_first(args);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let options = match tool_options().run_inner(Args::from(&*args).set_name("pimentorock")) {
        Ok(options) => options,
        Err(ParseFailure::Stdout(text, full)) => {
            output.line(&text.monochrome(full));
            return exit_code::OK;
        }
        Err(ParseFailure::Completion(text)) => {
            output.stdout.push_str(&text);
            return exit_code::OK;
        }
        Err(ParseFailure::Stderr(text)) => {
            output.error_line(&text.monochrome(true));
            return exit_code::USAGE;
        }
    };
    let json = options.common_options.json;
    let context = ToolContext::new(options.common_options, environment);
    match commands::run(&context, options.tool_command, output).await {
        Ok(()) => exit_code::OK,
        Err(error) if json => {
            output.json(&error.to_json());
            error.exit_code()
        }
        Err(error) => {
            output.error_line(&error.to_string());
            error.exit_code()
        }
    }
}
