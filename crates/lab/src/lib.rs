/*!
Stand-in servers, a load generator and simulations for the development of pimentorock.

No part of this crate runs in a deployment. Each stand-in is a small HTTP server that runs in
its own process, so that failure tests can stop or kill it and inspect the requests that it
recorded.

# Guided tour

* [`answer`] computes the exact answer of the engine stand-in to a prompt.
* [`platform`] stands in for the platform: its log, host list, orders, usage reports and model
  weights.
* [`engine`] stands in for a model engine with continuous batching.
* [`service`] stands in for a plain HTTP service.
* [`load`] generates open-loop load over HTTP and checks every answer.
* [`propagation`] measures how long configuration changes take to reach every process.
* [`experiment`] simulates the kernel's routers and queues in virtual time.
* [`jsonc`] reads the files that describe loads and experiments.
* [`serve`] serves a stand-in on a socket and prints its address.

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
