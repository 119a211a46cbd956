/*!
Decisions of the pimentorock router.

This crate holds every decision that the router takes and nothing else. It reads no clock,
opens no socket, writes no log line and starts no thread: time, seeded randomness and
messages are passed in, and actions come out. The daemon is a driver round it, and so are
the tests and the experiment tool, which replay whole sessions byte for byte.

# Guided tour

* [`time`] holds [`TimePoint`](time::TimePoint), the only notion of "now".
* [`ids`] holds the small `Copy` keys and identifiers that all messages use.
* [`catalog`] holds the compiled settings: accounts, classes, endpoints and models.
* [`request`] describes a request without its body.
* [`reason`] names why a decision was taken.
* [`record`] holds the records of the platform's log.
* [`predict`] forecasts how long an answer will be.
* [`control`] decides on shared state: configuration, keys, leases, membership.
* [`queue`] decides, beside one endpoint, which request runs next.
* [`route`] decides, in an entry, which endpoint a request is sent to.
* [`place`] decides the same where no agents stand beside the endpoints.
* [`duty`] decides who reports usage, where the log takes conditional appends.
* [`hub`] decides which entry reads the platform's store for all others.
* [`limit`] holds the limits of client accounts across entries.
* [`retry`] decides whether a request that failed is sent again.
* [`scale`] decides when endpoints are started and stopped.
* [`suspect`] keeps a request that crashes endpoints from crashing more than two.

# Example

```
use std::time::Duration;

use pimentorock_kernel::time::TimePoint;

let start = TimePoint::ZERO;
let later = start + Duration::from_millis(5);
assert_eq!(later.since(start), Duration::from_millis(5));
```
*/

pub mod catalog;
pub mod control;
pub mod duty;
pub mod hub;
pub mod ids;
pub mod limit;
pub mod place;
pub mod predict;
pub mod queue;
pub mod reason;
pub mod record;
pub mod request;
pub mod retry;
pub mod route;
pub mod scale;
pub mod suspect;
pub mod time;
