//! Checks that `docs/errors.md`, which is generated from the error types, is up to date. With `CRANKPADDLE_WRITE_PAGES=1`
//! the test writes the page.
use crankpaddle_daemon::StartError;
use miette::Diagnostic;
use std::path::Path;

fn page() -> String {
    let mut text = "# Errors, and what to do\n\nGenerated from the error types by `CRANKPADDLE_WRITE_PAGES=1 cargo test -p crankpaddle-daemon --test errors`. \
        A front that does not start (exit 1) prints the code, which stays the same over releases. `crankpaddle check` reports errors in a \
        configuration with line and column (exit 2).\n\n| code | example | what to do |\n| --- | --- | --- |\n"
        .to_owned();
    for error in StartError::samples() {
        let code = error
            .code()
            .map(|code| code.to_string())
            .unwrap_or_default();
        let help = error
            .help()
            .map(|help| help.to_string())
            .unwrap_or_default();
        text += &format!("| `{code}` | {error} | {help} |\n");
    }
    text
}

#[test]
fn the_page_on_errors_matches_the_error_types() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/errors.md");
    if std::env::var_os("CRANKPADDLE_WRITE_PAGES").is_some() {
        std::fs::write(&path, page()).unwrap();
    }
    let published = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        published == page(),
        "docs/errors.md is outdated; update it with: CRANKPADDLE_WRITE_PAGES=1 cargo test -p crankpaddle-daemon --test errors"
    );
    for error in StartError::samples() {
        assert!(error.help().is_some(), "{error}");
    }
}
