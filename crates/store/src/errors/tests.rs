use super::*;

#[test]
fn each_kind_has_a_sample_a_code_and_advice() {
    let kind = |error: &StoreError| match error {
        StoreError::Locked { .. } => 0,
        StoreError::NewerVersion { .. } => 1,
        StoreError::Disk { .. } => 2,
        StoreError::Corrupted { .. } => 3,
    };
    let samples = StoreError::samples();
    assert_eq!(
        samples.iter().map(kind).collect::<Vec<_>>(),
        [0, 1, 2, 3],
        "not exactly one sample of each kind"
    );
    for error in samples {
        assert!(
            error.code().is_some() && error.help().is_some_and(|help| help.to_string().len() > 20),
            "{error}"
        );
    }
}
