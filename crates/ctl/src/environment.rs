//! Environment variables that provide defaults for options.

/// Environment variables that provide defaults for options.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ToolEnvironment {
    /// URL of the platform, the default of `--platform`; `None` if the variable is not set.
    pub platform: Option<String>,
    /// Name of the user, the default of `--author`; `None` if the variable is not set.
    pub user: Option<String>,
}

impl ToolEnvironment {
    /// Returns an environment without variables.
    pub fn new() -> ToolEnvironment {
        ToolEnvironment::default()
    }

    /// Returns the variables of this process; an empty variable counts as not set.
    pub fn with_process_variables() -> ToolEnvironment {
        let variable = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
        ToolEnvironment { platform: variable("PIMENTOROCK_PLATFORM"), user: variable("USER") }
    }
}
