//! The sources of the front node contain no name of a particular deployment, because the node serves any customer's.
use std::path::{Path, PathBuf};

/// The packages that make up `crankpaddle node`.
const NODE_PACKAGES: [&str; 9] = [
    "time",
    "policy",
    "front",
    "node",
    "node-protocol",
    "net",
    "settings",
    "server-protocol",
    "http",
];

/// Names of classes, zones, kinds, tenants and sites of known deployments, besides those in `deploy/sites`.
const DEPLOYMENT_NAMES: [&str; 24] = [
    "licensed-view",
    "clip-servers",
    "std-3core",
    "east-hall",
    "west-hall",
    "photo-desk",
    "talk-video",
    "contractor-course",
    "talk-audio",
    "media-fleet",
    "two-core",
    "ops-center",
    "alder-creek",
    "walkthrough",
    "sunet-verde",
    "arcada-sound",
    "moara-beats",
    "barasat",
    "cluj",
    "head-office",
    "preview",
    "shannonside",
    "sunetbanc",
    "media-boxes",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs")
            && path.file_name().is_some_and(|name| name != "tests.rs")
        {
            found.push(path);
        }
    }
}

/// The lines of a source file before its unit tests, without comments.
fn code_of(text: &str) -> String {
    let code = text.split("#[cfg(test)]").next().unwrap_or_default();
    code.lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// The quoted values of `name =` and `zones =` in the deployments of this repository (`deploy/sites`).
fn repository_names() -> Vec<String> {
    let sites = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/sites");
    let changes = std::fs::read_dir(sites)
        .unwrap()
        .map(|entry| entry.unwrap().path().join("changes.toml"));
    let texts: Vec<String> = changes
        .filter_map(|path| std::fs::read_to_string(path).ok())
        .collect();
    assert!(
        texts.len() >= 2,
        "fewer than two deployments in deploy/sites"
    );
    let named = |line: &&str| line.starts_with("name =") || line.starts_with("zones =");
    let lines = texts.iter().flat_map(|text| text.lines().filter(named));
    lines
        .flat_map(|line| line.split('"').skip(1).step_by(2))
        .map(str::to_owned)
        .collect()
}

#[test]
fn no_name_of_a_deployment_is_in_the_sources_of_the_front_node() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    for package in NODE_PACKAGES {
        collect_sources(&crates.join(package).join("src"), &mut files);
    }
    assert!(files.len() > 50, "only {} source files", files.len());
    let repository_names = repository_names();
    assert!(
        repository_names.iter().any(|name| name == "dispatch-call")
            && repository_names.iter().any(|name| name == "quay"),
        "{repository_names:?}"
    );
    let names: Vec<&str> = DEPLOYMENT_NAMES
        .into_iter()
        .chain(repository_names.iter().map(String::as_str))
        .collect();
    for file in files {
        let code = code_of(&std::fs::read_to_string(&file).unwrap()).to_lowercase();
        for name in &names {
            assert!(
                !code.contains(&format!("\"{name}")),
                "{} contains {name:?}",
                file.display()
            );
        }
    }
}
