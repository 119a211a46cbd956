/*!
Decisions of the pimentorock router.

This crate contains the decision logic of the router and performs no I/O. It reads no clock,
opens no socket, writes no log line and starts no thread: the caller passes in time, seeded
randomness and messages, and receives actions. The daemon, the tests and the experiment tool
all drive this crate; the tests and the experiment tool replay whole sessions byte for byte.

# Modules

* [`time`] holds [`TimePoint`](time::TimePoint), the only representation of the current time.
* [`ids`] holds the keys and identifiers that messages use.
* [`catalog`] holds the compiled settings: accounts, classes, endpoints and models.
* [`request`] describes a request without its body.
* [`reason`] lists the reasons for decisions.
* [`record`] holds the records of the platform's log.
* [`predict`] predicts how many tokens an answer will have.
* [`control`] decides on shared state: configuration, keys, leases, membership.
* [`queue`] decides, in the agent of an endpoint, which request runs next.
* [`route`] decides, in an entry, which endpoint a request is sent to.
* [`place`] chooses endpoints in deployments without agents.
* [`duty`] decides which process reports usage if the log supports conditional appends.
* [`hub`] decides which entry reads the platform's store on behalf of all entries.
* [`log_position`] orders the records of a log that may come back from an older copy.
* [`limit`] enforces the limits of client accounts across entries.
* [`send_limit`] enforces the limits that endpoints name across entries.
* [`answer`] bounds what may arrive before a message is complete.
* [`retry`] decides whether a request that failed is sent again.
* [`scale`] decides when endpoints are started and stopped.
* [`stream_origin`] knows the software version at which a broken stream may go on.
* [`transfer`] decides how entries fetch large records from each other.
* [`suspect`] prevents a request that crashes endpoints from crashing more than two.

# Example

```
use std::time::Duration;

use pimentorock_kernel::time::TimePoint;

let start = TimePoint::ZERO;
let later = start + Duration::from_millis(5);
assert_eq!(later.since(start), Duration::from_millis(5));
```
*/

pub mod answer;
pub mod catalog;
pub mod control;
pub mod duty;
pub mod hub;
pub mod ids;
pub mod limit;
pub mod log_position;
pub mod place;
pub mod predict;
pub mod queue;
pub mod reason;
pub mod record;
pub mod request;
pub mod retry;
pub mod route;
pub mod scale;
pub mod send_limit;
pub mod stream_origin;
pub mod suspect;
pub mod time;
pub mod transfer;
