//! The published documents are those that the codec's types generate, and a version only makes the intended changes.
use super::*;
use crate::diff::{diff, Compatibility};

#[test]
fn the_published_files_are_up_to_date() {
    let published = [crate::PRESENT, crate::PREVIOUS, crate::OPENAPI, crate::PAGE];
    for ((name, generated), published) in files().into_iter().zip(published) {
        assert!(
            generated == published,
            "api/{name} is out of date: run `crankpaddle api describe api`"
        );
    }
}

#[test]
fn the_current_version_makes_only_the_intended_changes() {
    let changes = diff(
        &crate::parsed(crate::PREVIOUS),
        &crate::parsed(crate::PRESENT),
    )
    .unwrap();
    let described: Vec<(String, Compatibility)> = changes
        .iter()
        .map(|change| {
            (
                format!("{}: {}", change.location, change.description),
                change.compatibility,
            )
        })
        .collect();
    // Both changes extend what servers send. An old client may not know the additions, so they need a new version.
    assert_eq!(
        described,
        [
            (
                "opened.result.hall: an optional property was added".to_owned(),
                Compatibility::ForOldServers
            ),
            (
                "refused.error.data.reason: \"held_at_home\" was added".to_owned(),
                Compatibility::ForOldServers
            ),
        ]
    );
}

#[test]
fn released_descriptions_are_unchanged() {
    let released: [(&str, &str, Value); 1] = [(
        "session.v1",
        include_str!("../../../../api/released/session.v1.asyncapi.json"),
        asyncapi(SessionApiVersion::V1),
    )];
    for (name, text, generated) in released {
        let changes = diff(&crate::parsed(text), &generated).unwrap();
        assert_eq!(
            changes,
            [],
            "{name} is released: a change needs a new version"
        );
    }
}
