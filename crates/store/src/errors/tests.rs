use super::*;

#[test]
fn each_kind_has_a_sample_a_code_and_advice() {
    let kind = |error: &Error| match error {
        Error::Locked { .. } => 0,
        Error::NewerVersion { .. } => 1,
        Error::Disk { .. } => 2,
        Error::Corrupted { .. } => 3,
    };
    let samples = Error::samples();
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
