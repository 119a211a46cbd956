//! Random inputs to the parsers, and round trips of trees and durations.

use pimentorock_settings::{
    compile::compile,
    diff::diff_trees,
    process::ProcessSettings,
    source::parse_jsonc,
    tree::SettingsTree,
    units::{format_duration, parse_duration, parse_share},
};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

/// Fragments of settings, so that random texts are not rejected at the first character.
const PIECES: [&str; 30] = [
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"",
    "\\",
    "//",
    "/*",
    "*/",
    "\n",
    "\"teams\"",
    "\"north\"",
    "\"classes\"",
    "\"accounts\"",
    "\"match\"",
    "\"floor\"",
    "\"2%\"",
    "\"770ms\"",
    "\"fleet\"",
    "\"endpoints\"",
    "\"models\"",
    "null",
    "true",
    "1e999",
    "-0",
    "1",
    "\"/a/b\"",
    "é",
];

fn random_text(gen_: &mut Gen) -> String {
    let length = usize::arbitrary(gen_) % 40;
    (0..length).map(|_| *gen_.choose(&PIECES).unwrap()).collect()
}

fn random_value(gen_: &mut Gen, depth: u32) -> Value {
    match u8::arbitrary(gen_) % if depth == 0 { 4 } else { 8 } {
        0 => Value::Null,
        1 => json!(i64::arbitrary(gen_)),
        2 => json!(gen_.choose(&["770ms", "2%", "north", "", "small"]).unwrap()),
        3 => json!(bool::arbitrary(gen_)),
        4 => Value::Array((0..2).map(|_| random_value(gen_, depth - 1)).collect()),
        _ => {
            let names = ["teams", "north", "accounts", "classes", "match", "fleet", "models", "a/"];
            let field = |gen_: &mut Gen| {
                let name = gen_.choose(&names).unwrap().to_string();
                (name, random_value(gen_, depth - 1))
            };
            Value::Object((0..4).map(|_| field(gen_)).collect())
        }
    }
}

// Guards against a parser that panics on malformed settings.
#[test]
fn parsers_never_panic() {
    for seed in 0..4000 {
        let mut gen_ = Gen::from_size_and_seed(60, seed);
        let pieces = random_text(&mut gen_);
        let text = String::arbitrary(&mut gen_);
        for text in [&pieces, &text, &format!("{{\"teams\":{{{pieces}}}}}")] {
            if let Ok((value, _)) = parse_jsonc(text, "f") {
                let _ = compile(&value);
            }
            let _ = ProcessSettings::parse(text, "f");
            let _ = (parse_duration(text), parse_share(text));
        }
        let _ = compile(&random_value(&mut gen_, 6));
    }
}

// Guards against unbounded recursion on deeply nested input.
#[test]
fn nesting_is_bounded() {
    for opener in ["[", "{\"a\":", "/* \" */ [", "\"]\\\"\",["] {
        assert!(parse_jsonc(&opener.repeat(100_000), "f").is_err());
    }
    // Brackets in strings and comments do not count as nesting.
    let text = format!("[\"{}\" /* {} */]", "[".repeat(100), "{".repeat(100));
    assert!(parse_jsonc(&text, "f").is_ok());
}

// Guards against comments that end up in values or hide the values around them.
#[test]
fn comments_do_not_change_the_value() {
    for seed in 0..500 {
        let mut gen_ = Gen::from_size_and_seed(30, seed);
        let value = random_value(&mut gen_, 4);
        let text = serde_json::to_string_pretty(&value).unwrap();
        let commented = format!("// [{{\n{}\n/* \" */", text.replace('\n', " // x\n"));
        let (parsed, _) = parse_jsonc(&commented, "f").expect("valid JSON with comments");
        assert_eq!(parsed, value, "seed {seed}");
    }
}

// Guards against differences that are missing or have a wrong path: applied to the first tree,
// they must produce the second one.
#[test]
fn applying_the_differences_produces_the_other_tree() {
    for seed in 0..1000 {
        let mut gen_ = Gen::from_size_and_seed(30, seed);
        let (before, after) = (random_tree(&mut gen_), random_tree(&mut gen_));
        let mut tree = before.clone();
        for difference in diff_trees(&before, &after) {
            match difference.after {
                Some(value) => tree.set(&difference.path, value).unwrap(),
                None => _ = tree.delete(&difference.path).unwrap(),
            }
        }
        assert_eq!(tree, after, "seed {seed}");
    }
}

/// Returns a tree with three fields of random values, which are nested up to three levels deep.
fn random_tree(gen_: &mut Gen) -> SettingsTree {
    let names = ["a", "b", "c"];
    fn grow(gen_: &mut Gen, names: &[&str], depth: u32) -> Value {
        if depth == 0 || u8::arbitrary(gen_) % 4 == 0 {
            return json!(u8::arbitrary(gen_) % 4);
        }
        let count = usize::arbitrary(gen_) % 4;
        let field = |gen_: &mut Gen| {
            (gen_.choose(names).unwrap().to_string(), grow(gen_, names, depth - 1))
        };
        Value::Object((0..count).map(|_| field(gen_)).collect())
    }
    let root = (0..3).map(|index| (names[index].to_owned(), grow(gen_, &names, 3))).collect();
    SettingsTree::with_root(Value::Object(root))
}

// Guards against a formatted duration that is parsed as a different one, and against a parser that
// accepts malformed or too long durations.
#[test]
fn durations_survive_a_round_trip() {
    for text in ["1us", "27ms", "770ms", "1500ms", "30s", "90s", "5m", "36h"] {
        let span = parse_duration(text).unwrap();
        assert_eq!(parse_duration(&format_duration(span)), Some(span), "{text}");
    }
    // "721h" is well-formed, but above the limit of 30 days.
    for text in ["", "5", "ms", "1 d", "-1s", "1e3s", "721h", "..s", "1s2"] {
        assert_eq!(parse_duration(text), None, "{text}");
    }
}
