//! Suggests a known name for a misspelt one.

/// Maximum edit distance of a suggestion.
const MAX_DISTANCE: usize = 4;

/// Returns the known name with the smallest edit distance, if it is within the limit.
pub(super) fn nearest<'k>(name: &str, known: &[&'k str]) -> Option<&'k str> {
    let limit = MAX_DISTANCE.min(name.chars().count() / 2 + 1);
    let distances = known
        .iter()
        .map(|candidate| (distance(name, candidate), *candidate));
    let closest = distances.min();
    closest
        .filter(|(distance, _)| *distance <= limit)
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance in characters, computed one row at a time.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (index, left_char) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right_char) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(left_char != *right_char);
            diagonal = row[column + 1];
            row[column + 1] = substituted.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[right.len()]
}
