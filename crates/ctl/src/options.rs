//! Commands and options.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Options of every command that take a value.
const COMMON_ARGUMENTS: [&str; 5] = ["--platform", "--process", "--author", "--team", "--timeout"];

/// Options of every command that take none.
const COMMON_SWITCHES: [&str; 1] = ["--json"];

/// Operates a pimentorock deployment.
///
/// The options below may stand before or after the command.
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
    /// URL of the platform, else that in the variable PIMENTOROCK_PLATFORM
    #[bpaf(long, argument("URL"))]
    pub(crate) platform: Option<String>,
    /// Operators' address of a process; may be given several times, else the platform's host
    /// list names them
    #[bpaf(long("process"), argument("URL"))]
    pub(crate) processes: Vec<String>,
    /// Who makes a change, else the name in the variable USER; stands in the history
    #[bpaf(long, argument("NAME"))]
    pub(crate) author: Option<String>,
    /// Refuse to change anything outside this team's subtree
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
    /// Client accounts
    #[bpaf(command)]
    Account(#[bpaf(external(account_command))] AccountCommand),
    /// Request classes
    #[bpaf(command)]
    Class(#[bpaf(external(class_command))] ClassCommand),
    /// Caller keys
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Endpoints
    #[bpaf(command)]
    Endpoint(#[bpaf(external(endpoint_command))] EndpointCommand),
    /// Show every process with its revision, endpoints and work
    #[bpaf(command)]
    Status,
    /// Show what became of a request, and why
    #[bpaf(command)]
    Explain {
        /// Saved log file to read in place of asking processes; may be given several times
        #[bpaf(long("logs"), argument("FILE"))]
        logs: Vec<PathBuf>,
        /// Value of the answer's x-request-id header, or with --logs any identifier of a request
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// Show how fast service levels burn, by class and account
    #[bpaf(command)]
    Burn {
        /// Write a plot to this SVG file
        #[bpaf(long, argument("FILE"))]
        plot: Option<PathBuf>,
    },
    /// Show the usage of closed windows
    #[bpaf(command)]
    Usage {
        /// Only this account
        #[bpaf(long, argument("TEAM/ACCOUNT"))]
        account: Option<String>,
    },
}

/// How a change is made.
#[derive(Clone, Debug, Bpaf)]
pub(crate) struct ChangeOptions {
    /// Revision that the change was made from; changes of the same paths after it refuse this one
    #[bpaf(long, argument("REVISION"))]
    pub(crate) base: Option<u64>,
    /// Wait until every process has confirmed the revision
    #[bpaf(long)]
    pub(crate) wait: bool,
    /// Longest time for --wait, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(10))]
    pub(crate) wait_timeout: u64,
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum SettingsCommand {
    /// Check settings files, as they would be applied if --platform is given
    #[bpaf(command)]
    Check {
        /// Files with a settings tree, or a daemon's own settings
        #[bpaf(positional("FILE"), some("name a file"))]
        files: Vec<PathBuf>,
    },
    /// Print the value at a path
    #[bpaf(command)]
    Get {
        /// Path, "/" for the whole tree
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
        /// JSON with comments; a text without quotes stands for itself
        #[bpaf(positional("VALUE"))]
        value: String,
    },
    /// Delete the value at a path
    #[bpaf(command)]
    Delete {
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Path
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
    /// List changes, refused ones too
    #[bpaf(command)]
    History {
        /// Only the last COUNT changes
        #[bpaf(long, argument("COUNT"))]
        last: Option<usize>,
        /// Only changes at, above or below this path
        #[bpaf(positional("PATH"), fallback("/".into()))]
        path: String,
    },
    /// Apply a settings file as one change
    #[bpaf(command)]
    Apply {
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Settings file: a tree, or an object of paths; what it does not name stays
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum AccountCommand {
    /// List client accounts
    #[bpaf(command)]
    List,
    /// Create an account, or set the fields given
    #[bpaf(command)]
    Set {
        /// Share of service relative to other accounts
        #[bpaf(long, argument("NUMBER"))]
        weight: Option<u64>,
        /// Requests a second over the whole fleet
        #[bpaf(long, argument("NUMBER"))]
        requests_per_second: Option<f64>,
        /// Tokens a second over the whole fleet
        #[bpaf(long, argument("NUMBER"))]
        tokens_per_second: Option<f64>,
        /// Requests in flight over the whole fleet
        #[bpaf(long, argument("NUMBER"))]
        concurrency: Option<u64>,
        /// Model that the account may use; may be given several times
        #[bpaf(long("model"), argument("NAME"))]
        models: Vec<String>,
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Account
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
    /// Create a caller key and show it, once
    #[bpaf(command)]
    Create {
        /// Label to know the key by
        #[bpaf(long, argument("TEXT"), fallback("".into()))]
        label: String,
        /// Account that the key belongs to
        #[bpaf(positional("TEAM/ACCOUNT"))]
        account: String,
    },
    /// Withdraw a caller key for ever
    #[bpaf(command)]
    Withdraw {
        /// Key id as listed, whole hash, or label
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// List caller keys
    #[bpaf(command)]
    List {
        /// Only this account
        #[bpaf(long, argument("TEAM/ACCOUNT"))]
        account: Option<String>,
    },
}

#[derive(Clone, Debug, Bpaf)]
pub(crate) enum EndpointCommand {
    /// List endpoints with their state
    #[bpaf(command)]
    List,
    /// Give an endpoint no new work and let it finish what it has
    #[bpaf(command)]
    Drain {
        /// Endpoint
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Moves the options of every command to the front, so that they may stand anywhere.
pub(crate) fn move_common_options_first(args: &[String]) -> Vec<String> {
    // The shell's request for completions depends on the order.
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
