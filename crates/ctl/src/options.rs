//! Declares the commands and options of the command line.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Options common to all commands that take a value.
const COMMON_ARGUMENTS: [&str; 5] = ["--platform", "--process", "--author", "--team", "--timeout"];

/// Options common to all commands that take no value.
const COMMON_SWITCHES: [&str; 1] = ["--json"];

/// Operates a pimentorock deployment.
///
/// The options below may be given before or after the command.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct ToolOptions {
    #[bpaf(external)]
    pub(crate) common_options: CommonOptions,
    #[bpaf(external)]
    pub(crate) tool_command: ToolCommand,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) struct CommonOptions {
    /// URL of the platform (default: the variable PIMENTOROCK_PLATFORM)
    #[bpaf(long, argument("URL"))]
    pub(crate) platform: Option<String>,
    /// URL of the operator interface of a process; may be given several times (default: all
    /// processes in the platform's host list)
    #[bpaf(long("process"), argument("URL"))]
    pub(crate) processes: Vec<String>,
    /// Author of a change, as recorded in the history (default: the variable USER)
    #[bpaf(long, argument("NAME"))]
    pub(crate) author: Option<String>,
    /// Refuse changes outside the subtree of this team
    #[bpaf(long, argument("TEAM"))]
    pub(crate) team: Option<String>,
    /// Longest time to wait for the platform, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(15))]
    pub(crate) timeout: u64,
    /// Print JSON
    #[bpaf(long)]
    pub(crate) json: bool,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ToolCommand {
    /// Read, check and change settings
    #[bpaf(command)]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// List and change client accounts
    #[bpaf(command)]
    Account(#[bpaf(external(account_command))] AccountCommand),
    /// List request classes
    #[bpaf(command)]
    Class(#[bpaf(external(class_command))] ClassCommand),
    /// Create, withdraw and list caller keys
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// List and drain endpoints
    #[bpaf(command)]
    Endpoint(#[bpaf(external(endpoint_command))] EndpointCommand),
    /// Show all processes with their revision, and all endpoints with their load
    #[bpaf(command)]
    Status,
    /// Show how a request was handled and why
    #[bpaf(command)]
    Explain {
        /// Saved log file to read instead of asking the processes; may be given several times
        #[bpaf(long("logs"), argument("FILE"))]
        logs: Vec<PathBuf>,
        /// Value of the x-request-id response header, or with --logs any request identifier in
        /// the log files
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// Show the burn rate of service-level targets by class and account
    #[bpaf(command)]
    Burn {
        /// Write a plot to this SVG file
        #[bpaf(long, argument("FILE"))]
        plot: Option<PathBuf>,
    },
    /// Show usage by window and account
    #[bpaf(command)]
    Usage {
        /// Show only this account
        #[bpaf(long, argument("TEAM/ACCOUNT"))]
        account: Option<String>,
    },
}

/// Options for making a change.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ChangeOptions {
    /// Revision on which the change is based; the change is refused if a later revision changed
    /// the same paths
    #[bpaf(long, argument("REVISION"))]
    pub(crate) base: Option<u64>,
    /// Wait until every process has applied the revision
    #[bpaf(long)]
    pub(crate) wait: bool,
    /// Longest time for --wait, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    pub(crate) wait_timeout: u64,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum SettingsCommand {
    /// Check settings files, on top of the current settings if --platform is given
    #[bpaf(command)]
    Check {
        /// Files with a settings tree, edits by path, or the process settings of a daemon
        #[bpaf(positional("FILE"), some("expected at least one FILE"))]
        files: Vec<PathBuf>,
    },
    /// Print the value at a path
    #[bpaf(command)]
    Get {
        /// Path to print; "/" is the whole tree
        #[bpaf(positional("PATH"), fallback("/".into()))]
        path: String,
    },
    /// Set the value at a path
    #[bpaf(command)]
    Set {
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Path such as /teams/TEAM/accounts/ACCOUNT
        #[bpaf(positional("PATH"))]
        path: String,
        /// Value as JSON with comments; text that is not JSON is taken as a string
        #[bpaf(positional("VALUE"))]
        value: String,
    },
    /// Delete the value at a path
    #[bpaf(command)]
    Delete {
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Path to delete
        #[bpaf(positional("PATH"))]
        path: String,
    },
    /// Show what applying a file would change
    #[bpaf(command)]
    Diff {
        /// Settings file
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// List changes, including refused ones
    #[bpaf(command)]
    History {
        /// Show only the last COUNT changes
        #[bpaf(long, argument("COUNT"))]
        last: Option<usize>,
        /// Show only changes at, above or below this path
        #[bpaf(positional("PATH"), fallback("/".into()))]
        path: String,
    },
    /// Apply a settings file as one change
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Settings file with a tree or with an object of paths; settings that the file does not
        /// contain stay unchanged
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum AccountCommand {
    /// List client accounts
    #[bpaf(command)]
    List,
    /// Create an account, or set the given fields of an existing one
    #[bpaf(command)]
    Set {
        /// Weight of the account in fair sharing, relative to other accounts
        #[bpaf(long, argument("NUMBER"))]
        weight: Option<u64>,
        /// Limit of requests per second over the whole fleet
        #[bpaf(long, argument("NUMBER"))]
        requests_per_second: Option<f64>,
        /// Limit of tokens per second over the whole fleet
        #[bpaf(long, argument("NUMBER"))]
        tokens_per_second: Option<f64>,
        /// Limit of requests in flight over the whole fleet
        #[bpaf(long, argument("NUMBER"))]
        concurrency: Option<u64>,
        /// Model that the account may use; may be given several times
        #[bpaf(long("model"), argument("NAME"))]
        models: Vec<String>,
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Account to create or change
        #[bpaf(positional("TEAM/ACCOUNT"))]
        account: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ClassCommand {
    /// List request classes in the order in which they are matched
    #[bpaf(command)]
    List,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum KeyCommand {
    /// Create a caller key and print it; it cannot be shown again
    #[bpaf(command)]
    Create {
        /// Label that identifies the key
        #[bpaf(long, argument("TEXT"), fallback("".into()))]
        label: String,
        /// Account that the key belongs to
        #[bpaf(positional("TEAM/ACCOUNT"))]
        account: String,
    },
    /// Withdraw a caller key permanently
    #[bpaf(command)]
    Withdraw {
        /// Key id as listed, complete hash, or label
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// List caller keys
    #[bpaf(command)]
    List {
        /// Show only this account
        #[bpaf(long, argument("TEAM/ACCOUNT"))]
        account: Option<String>,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum EndpointCommand {
    /// List endpoints with their current state
    #[bpaf(command)]
    List,
    /// Send no new requests to an endpoint and let its current requests finish
    #[bpaf(command)]
    Drain {
        /// Endpoint to drain
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Moves the common options in front of the command, so that they may be given anywhere.
///
/// Arguments after `--` keep their places.
pub(crate) fn move_common_options_first(args: &[String]) -> Vec<String> {
    // A shell's request for completions depends on the order of the arguments.
    if args.iter().any(|arg| arg.starts_with("--bpaf-complete")) {
        return args.to_vec();
    }
    let (mut front, mut rest) = (Vec::new(), Vec::new());
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        let name = arg.split_once('=').map_or(arg.as_str(), |(name, _)| name);
        if arg == "--" {
            rest.push(arg.clone());
            rest.extend(args.by_ref().cloned());
        } else if COMMON_SWITCHES.contains(&arg.as_str()) {
            front.push(arg.clone());
        } else if COMMON_ARGUMENTS.contains(&name) {
            front.push(arg.clone());
            if !arg.contains('=') {
                front.extend(args.next().cloned());
            }
        } else {
            rest.push(arg.clone());
        }
    }
    front.append(&mut rest);
    front
}
