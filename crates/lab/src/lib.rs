/*!
Stand-ins, load and experiments for the developers of pimentorock.

Nothing here runs in a deployment. Each stand-in is a small HTTP server in a process of its
own, so that failure tests can stop it, kill it and look at what it saw.

# Guided tour

* [`answer`] says which answer the engine stand-in gives to a prompt, to the byte.
* [`platform`] stands in for the platform: log, hosts, orders, usage reports and weights.
* [`engine`] stands in for a model engine with continuous batching.
* [`service`] stands in for a plain HTTP service.
* [`load`] sends open-loop load and checks every answer.
* [`experiment`] drives the kernel against the engine's step model in virtual time.
* [`jsonc`] reads the files that describe loads and experiments.
* [`serve`] starts any of them on a socket and prints where it listens.

# Example

```
use pimentorock_lab::answer;

let tokens = answer::expected_tokens("fast", "which sink fits?", 12);
let text = answer::expected_text("fast", "which sink fits?", tokens);
assert_eq!(text.split(' ').count(), tokens as usize);
```
*/

pub mod answer;
pub mod engine;
pub mod experiment;
pub mod jsonc;
pub mod load;
pub mod platform;
pub mod propagation;
pub mod serve;
pub mod service;
