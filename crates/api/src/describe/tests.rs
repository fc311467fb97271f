//! The published documents are those that the codec's types generate, and each version announces its changes.
use super::*;
use crate::diff::{diff, Class};

#[test]
fn the_published_descriptions_are_those_of_the_codec() {
    let published = [crate::PRESENT, crate::PREVIOUS, crate::OPENAPI, crate::PAGE];
    for ((name, made), published) in files().into_iter().zip(published) {
        assert!(
            made == published,
            "api/{name} is old: run crankpaddle api describe api"
        );
    }
}

#[test]
fn the_present_version_differs_from_the_previous_one_by_what_its_name_announces() {
    let changes = diff(
        &crate::parsed(crate::PREVIOUS),
        &crate::parsed(crate::PRESENT),
    )
    .unwrap();
    let said: Vec<(String, Class)> = changes
        .iter()
        .map(|c| (format!("{}: {}", c.at, c.what), c.class))
        .collect();
    // Both are wider for what servers send: an old client may not know them, so they have a version of their own.
    assert_eq!(
        said,
        [
            (
                "opened.result.hall: new, optional".to_owned(),
                Class::ForOldServers
            ),
            (
                "refused.error.data.reason: \"held_at_home\" is new".to_owned(),
                Class::ForOldServers
            ),
        ]
    );
}

#[test]
fn the_last_released_descriptions_still_hold() {
    let released: [(&str, &str, Value); 1] = [(
        "session.v1",
        include_str!("../../../../api/released/session.v1.asyncapi.json"),
        asyncapi(Version::V1),
    )];
    for (name, text, made) in released {
        let changes = diff(&crate::parsed(text), &made).unwrap();
        assert_eq!(
            changes,
            [],
            "{name} was released: what changes it wants a version of its own"
        );
    }
}
