//! Validation of names in settings, and suggestions for unknown names.

/// Maximum length of the name of a team, account, class or endpoint, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum edit distance between an unknown name and the known name that a hint suggests.
const MAX_EDIT_DISTANCE: usize = 3;

/// Reports whether a name is valid as a component of a settings path.
pub(crate) fn is_path_name(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(plain)
}

/// Returns a hint with the known name most similar to `name`, or with all known names if none is
/// similar and there are at most 16.
pub(crate) fn nearest_hint<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Option<Box<str>> {
    let nearest = known
        .clone()
        .map(|candidate| (edit_distance(name, candidate), candidate))
        .filter(|(count, candidate)| *count <= MAX_EDIT_DISTANCE && *count < candidate.len())
        .min();
    if let Some((_, candidate)) = nearest {
        return Some(format!("did you mean \"{candidate}\"?").into());
    }
    let mut all: Vec<&str> = known.collect();
    all.sort_unstable();
    if all.is_empty() || all.len() > 16 {
        return None;
    }
    Some(format!("known: {}", all.join(", ")).into())
}

/// Returns the Levenshtein distance between two names.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().take(2 * MAX_NAME_BYTES).enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, &b) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
