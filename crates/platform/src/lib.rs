/*!
Typed clients and log records for the platform's interfaces.

The platform is an external system. Its interfaces are plain HTTP with JSON bodies, which the
types in [`wire`] define. The platform stand-in of the lab crate uses the same types.

| interface | request | response |
| --- | --- | --- |
| append | `POST /log/STREAM/append` [`wire::AppendRequest`] | [`wire::AppendAnswer`] |
| read | `GET /log/STREAM/read?from=N&max=N&wait_ms=N` | [`wire::ReadAnswer`] |
| hosts | `GET /hosts` | [`wire::HostList`] |
| order | `POST /orders` [`wire::OrderRequest`] | [`wire::OrderAnswer`] |
| usage | `POST /usage` [`wire::UsageReport`] | empty |
| weights | `GET /weights/MODEL` | bytes, or 429 with `Retry-After` |

An answer may be lost after the call has taken effect, so a caller must not assume that a failed
call had no effect.

# Guided tour

* [`LogAppender`](log_appender::LogAppender) appends records in batches under an
  [`AppendBudget`](append_budget::AppendBudget). After a lost answer, it searches the log for
  the batch before it sends the batch again.
* [`LogReader`](log_reader::LogReader) reads a stream continuously and reports each step as a
  [`ReadEvent`](read_event::ReadEvent).
* [`LogClient`](log_client::LogClient), [`HostClient`](host_client::HostClient),
  [`OrderClient`](order_client::OrderClient), [`UsageClient`](usage_client::UsageClient) and
  [`WeightClient`](weight_client::WeightClient) make single calls.
* [`operator_wire`] defines the bodies of the interface that daemons serve to operators.

# Example

```
use pimentorock_platform::envelope::RecordEnvelope;

let envelope = RecordEnvelope::new("e1-17", &"body");
let line = envelope.encode();
let read = RecordEnvelope::decode(&line)?;
assert_eq!(read.body::<String>()?, "body");
# Ok::<(), pimentorock_platform::error::PlatformError>(())
```
*/

pub mod append_budget;
pub mod append_handle;
pub mod backoff;
pub mod envelope;
pub mod error;
pub mod host_client;
pub mod log_appender;
pub mod log_client;
pub mod log_reader;
pub mod operator_wire;
pub mod order_client;
pub mod read_event;
pub mod usage_client;
pub mod weight_client;
pub mod wire;

mod append_worker;
