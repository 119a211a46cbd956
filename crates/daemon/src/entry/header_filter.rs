//! Selection of the headers and query parameters that are forwarded to an endpoint.

use pimentorock_kernel::control::KeyTable;
use poem::http::HeaderMap;

use crate::key_hash::KeyHash;

/// Headers that are forwarded to endpoints; all other headers are removed.
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

/// Removes callers' keys from the headers and query parameters that are forwarded.
#[derive(Debug)]
pub(crate) struct HeaderFilter<'a> {
    caller_key: &'a str,
    keys: &'a KeyTable,
}

impl<'a> HeaderFilter<'a> {
    /// Returns a filter that recognizes the key presented by the caller and every key in `keys`.
    pub(crate) fn new(caller_key: &'a str, keys: &'a KeyTable) -> HeaderFilter<'a> {
        HeaderFilter { caller_key, keys }
    }

    /// Returns the allowed headers whose values contain no key.
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

    /// Returns the query without the parameters that contain a key.
    pub(crate) fn query(&self, query: &str) -> String {
        let kept: Vec<&str> = query
            .split('&')
            .filter(|pair| !pair.is_empty() && !self.pair_contains_key(pair))
            .collect();
        kept.join("&")
    }

    /// Returns whether `text` contains a key, either plain or percent-encoded.
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

/// Minimum length of a word that is looked up as a key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// Returns `text` after percent-decoding it twice.
///
/// Decoding twice also reveals a key that was encoded twice. Invalid escape sequences are left
/// unchanged.
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
