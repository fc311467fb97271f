use super::*;

#[test]
fn each_kind_has_a_sample_a_code_and_advice() {
    let number = |e: &Error| match e {
        Error::Locked { .. } => 0,
        Error::Future { .. } => 1,
        Error::Disk { .. } => 2,
        Error::Torn { .. } => 3,
    };
    let samples = Error::samples();
    assert_eq!(
        samples.iter().map(number).collect::<Vec<_>>(),
        [0, 1, 2, 3],
        "a kind has no sample"
    );
    for e in samples {
        assert!(
            e.code().is_some() && e.help().is_some_and(|h| h.to_string().len() > 20),
            "{e}"
        );
    }
}
