//! Alters the published description in several ways, and checks that the conformance check finds each deviation and names
//! it.
use crankpaddle_api::conform::{ConformanceChecker, Exception, Exchange};
use serde_json::{json, Value};

/// An alteration of the description: its explanation, the change itself, and a text that the verdict must contain.
type Alteration = (&'static str, fn(&mut Value), &'static str);

const ALTERATIONS: [Alteration; 10] = [
    (
        "a property is dropped",
        |document| {
            drop(
                document["components"]["schemas"]["Opened"]["properties"]
                    .as_object_mut()
                    .unwrap()
                    .remove("media"),
            );
        },
        "\"media\"",
    ),
    (
        "a reason is missing in the description",
        |document| {
            drop(
                document["components"]["schemas"]["FailedReason"]["oneOf"]
                    .as_array_mut()
                    .unwrap()
                    .remove(0),
            );
        },
        "\"no_answer\"",
    ),
    (
        "a reason is in the description only",
        |document| {
            document["components"]["schemas"]["EndReason"]["oneOf"]
                .as_array_mut()
                .unwrap()
                .push(json!({"const": "bored"}));
        },
        "end.params.reason = \"bored\"",
    ),
    (
        "a property that is never sent is added",
        |document| {
            document["components"]["schemas"]["Ended"]["properties"]["mood"] =
                json!({"type": "string"});
        },
        "end.params.mood",
    ),
    (
        "a property has another type",
        |document| {
            document["components"]["schemas"]["RungChanged"]["properties"]["rung"] =
                json!({"type": "string"});
        },
        "session.rung",
    ),
    (
        "a property has a lower maximum length",
        |document| {
            document["components"]["schemas"]["Opened"]["properties"]["session"]["maxLength"] =
                json!(1);
        },
        "\"session\":\"s-",
    ),
    (
        "an optional property is required",
        |document| {
            document["components"]["schemas"]["Refused"]["required"]
                .as_array_mut()
                .unwrap()
                .push(json!("advice"));
        },
        "\"refused\"",
    ),
    (
        "an error has another code",
        |document| {
            document["components"]["messages"]["superseded"]["payload"]["properties"]["error"]
                ["properties"]["code"] = json!({"const": -32_099});
        },
        "-32003",
    ),
    (
        "a message is dropped",
        |document| {
            document["operations"]["tell"]["messages"]
                .as_array_mut()
                .unwrap()
                .retain(|message| !message["$ref"].as_str().unwrap().ends_with("/parseError"));
        },
        "-32700",
    ),
    (
        "a method has another name",
        |document| {
            document["components"]["messages"]["resume"]["payload"]["properties"]["method"] =
                json!({"const": "session.again"});
        },
        "resume",
    ),
];

/// Checks each alteration against exchanges that conform to the unaltered description.
pub(crate) fn check_each(exchanges: &[Exchange], exceptions: &[Exception]) {
    for (explanation, alter, expected_text) in ALTERATIONS {
        let mut document = crankpaddle_api::parsed(crankpaddle_api::PRESENT);
        alter(&mut document);
        let mut checker =
            ConformanceChecker::new(&document.to_string(), crankpaddle_api::OPENAPI).unwrap();
        for exchange in exchanges {
            checker.record(exchange);
        }
        let verdict = checker.report(exceptions);
        assert!(
            !verdict.agrees() && verdict.to_string().contains(expected_text),
            "{explanation}: {verdict}"
        );
    }
}
