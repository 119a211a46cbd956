//! Which headers and query parameters travel on to an endpoint.

use pimentorock_kernel::control::KeyTable;
use poem::http::HeaderMap;

use crate::key_hash::KeyHash;

/// Headers that endpoints may see; all others stay here.
const FORWARDED_HEADERS: [&str; 9] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
    "if-modified-since",
    "if-unmodified-since",
    "range",
    "user-agent",
];

/// Takes caller keys out of what travels on.
#[derive(Debug)]
pub(crate) struct HeaderFilter<'a> {
    caller_key: &'a str,
    keys: &'a KeyTable,
}

impl<'a> HeaderFilter<'a> {
    /// Returns a filter that knows the presented key and every key of `keys`.
    pub(crate) fn new(caller_key: &'a str, keys: &'a KeyTable) -> HeaderFilter<'a> {
        HeaderFilter { caller_key, keys }
    }

    /// Returns the headers that travel on.
    pub(crate) fn headers(&self, headers: &HeaderMap) -> Vec<(Box<str>, Box<str>)> {
        FORWARDED_HEADERS
            .iter()
            .filter_map(|&name| {
                let value = headers.get(name)?.to_str().ok()?;
                let permitted = !self.contains_key(value);
                permitted.then(|| (name.into(), value.into()))
            })
            .collect()
    }

    /// Returns the query that travels on, without parameters that hold a key.
    pub(crate) fn query(&self, query: &str) -> String {
        let kept: Vec<&str> = query
            .split('&')
            .filter(|pair| !pair.is_empty() && !self.pair_contains_key(pair))
            .collect();
        kept.join("&")
    }

    /// Returns whether a key stands in `text`, plain or percent-encoded.
    pub(crate) fn contains_key(&self, text: &str) -> bool {
        let decoded = percent_decoded(text);
        decoded.contains(self.caller_key) || text.contains(self.caller_key) || {
            decoded
                .split(|letter: char| !(letter.is_ascii_alphanumeric() || "-_".contains(letter)))
                .filter(|word| word.len() >= MIN_KEY_BYTES)
                .any(|word| self.keys.is_known(KeyHash::of(word).as_str()))
        }
    }

    fn pair_contains_key(&self, pair: &str) -> bool {
        self.contains_key(&pair.replace('+', " ")) || self.contains_key(pair)
    }
}

/// Shortest text that is looked up as a key.
const MIN_KEY_BYTES: usize = 16;

/// Returns `text` with `%XX` replaced by its byte, twice over.
///
/// A key that was encoded twice is found too; text that is not valid is left as it is.
fn percent_decoded(text: &str) -> String {
    decode_once(&decode_once(text))
}

fn decode_once(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let byte =
            text.get(index + 1..index + 3).and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match byte {
            Some(byte) if bytes[index] == b'%' => {
                decoded.push(byte);
                index += 3;
            }
            _ => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
