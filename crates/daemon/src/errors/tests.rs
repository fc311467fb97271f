//! Tests that each kind of error has a sample for the documentation, a code and advice.
use super::*;
use std::collections::BTreeSet;

#[test]
fn each_kind_has_a_sample_a_code_and_advice() {
    let kind = |error: &StartError| match error {
        StartError::Listen { .. } => 0,
        StartError::SavedFile { .. } => 1,
        StartError::Key { .. } => 2,
        StartError::Store(_) => 3,
    };
    let samples = StartError::samples();
    let kinds: BTreeSet<i32> = samples.iter().map(kind).collect();
    assert_eq!(
        kinds.into_iter().collect::<Vec<_>>(),
        [0, 1, 2, 3],
        "a kind of error has no sample"
    );
    for error in samples {
        assert!(error.code().is_some(), "{error}");
        let has_advice = error.help().is_some_and(|help| help.to_string().len() > 20);
        assert!(has_advice, "{error}");
    }
}
