//! Heads that the parser accepts although they begin no answer.

use std::fmt;

use http::{StatusCode, response};

/// Why a head begins no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadFault {
    /// The endpoint changes the protocol, which no request asked for.
    ProtocolChange,
    /// The endpoint stopped within the head and began another one, whose status line is part of a header now.
    SecondHead,
}

impl HeadFault {
    /// Returns what is wrong with a head, if anything is.
    pub(crate) fn find(parts: &response::Parts) -> Option<HeadFault> {
        if parts.status == StatusCode::SWITCHING_PROTOCOLS {
            return Some(HeadFault::ProtocolChange);
        }
        let mut values = parts.headers.values();
        values.any(|value| has_status_line(value.as_bytes())).then_some(HeadFault::SecondHead)
    }

    /// Returns the name of the fault in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            HeadFault::ProtocolChange => "protocol_change",
            HeadFault::SecondHead => "second_head",
        }
    }
}

impl fmt::Display for HeadFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HeadFault::ProtocolChange => "the endpoint changes the protocol",
            HeadFault::SecondHead => "another head begins within the head",
        })
    }
}

/// Reports whether a status line begins within the value of a header.
fn has_status_line(value: &[u8]) -> bool {
    value.windows(b"HTTP/1.1 200".len()).any(|bytes| {
        let (version, status) = bytes.split_at(b"HTTP/1.1 ".len());
        matches!(version, b"HTTP/1.1 " | b"HTTP/1.0 ") && status.iter().all(u8::is_ascii_digit)
    })
}
