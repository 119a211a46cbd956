/*!
Parser, checks and compiler for the settings of pimentorock.

There are two kinds of settings. The *process settings* are one file per daemon process and
define its identity and its addresses. The *settings tree* is shared by the whole fleet, is
stored in the platform's log, and is edited by path; each team has its own subtree.

# Guided tour

* [`source`] parses JSON with comments and records the position of every value.
* [`finding`] and [`report`] describe all problems of one check, each with its position and,
  where possible, a hint.
* [`process`] defines [`ProcessSettings`](process::ProcessSettings), the settings file of a daemon
  process.
* [`tree`] defines [`SettingsTree`](tree::SettingsTree) with get, set and delete by path, and
  [`diff`] lists the differences of two trees.
* [`compile`] checks a tree and compiles it into the kernel's
  [`CatalogSpec`](pimentorock_kernel::catalog::CatalogSpec). It rejects a tree that refers to
  a name that does not exist or that contains an unreachable class.
* [`policy`] lists the names of the policies that a tree may select.

# Example

```
use pimentorock_settings::{compile::compile, source::parse_jsonc};

let text = r#"{
    // One team with one account.
    "teams": {"north": {"accounts": {"shop": {"weight": 2}}}},
}"#;
let (tree, _) = parse_jsonc(text, "fleet.jsonc")?;
let spec = compile(&tree)?;
assert_eq!(&*spec.accounts[0].name, "north/shop");
# Ok::<(), pimentorock_settings::report::FindingReport>(())
```
*/

pub mod compile;
pub mod diff;
pub mod finding;
pub mod policy;
pub mod position;
pub mod process;
pub mod report;
pub mod source;
pub mod tree;
pub mod units;

mod account;
mod class;
mod coverage;
mod endpoint;
mod names;
mod reader;
mod sink;
