//! The front's codec accepts a call if and only if the published schemas allow it. The test generates calls from the schemas,
//! and alters most of them.
use crankpaddle_api::conform::ConformanceChecker;
use crankpaddle_session_api::jsonrpc::{self, Message};
use crankpaddle_session_api::methods::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};

/// Number of calls that are tried with each document.
const CALL_COUNT: u64 = 20_000;

/// Whether the front's codec accepts a text as a call with an id.
fn codec_accepts(text: &str) -> bool {
    match jsonrpc::read(text) {
        Message::Single(Ok(call)) => {
            call.id.is_some() && Method::parse(&call.method, call.params).is_ok()
        }
        _ => false,
    }
}

/// The schema itself, or the one that it refers to.
fn resolved<'v>(document: &'v Value, schema: &'v Value) -> &'v Value {
    let target = schema["$ref"]
        .as_str()
        .and_then(|reference| document.pointer(&reference[1..]));
    target.map_or(schema, |target| resolved(document, target))
}

/// A random text with a length between these, of which the two bounds are most likely.
fn random_text(rng: &mut StdRng, min_length: usize, max_length: usize) -> String {
    let length = if rng.random_bool(0.2) {
        [min_length, max_length][rng.random_range(0..2)]
    } else {
        rng.random_range(min_length..=max_length)
    };
    (0..length)
        .map(|_| ['a', '0', '-', '\u{e9}', '\u{1f600}', ' '][rng.random_range(0..6)])
        .collect()
}

/// A random value that a schema allows.
fn random_value(document: &Value, schema: &Value, rng: &mut StdRng) -> Value {
    let schema = resolved(document, schema);
    if let Some(value) = schema.get("const") {
        return value.clone();
    }
    let kinds: Vec<&str> = match &schema["type"] {
        Value::String(kind) => vec![kind],
        Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).collect(),
        _ => vec!["null"],
    };
    let limit = |keyword: &str, default: u64| {
        let stated = schema[keyword].as_f64();
        stated.map_or(default, |number| number as u64)
    };
    match kinds[rng.random_range(0..kinds.len())] {
        "object" => {
            let required = schema["required"].as_array().cloned().unwrap_or_default();
            let mut fields = Map::new();
            for (name, inner) in schema["properties"].as_object().unwrap() {
                if required.contains(&json!(name)) || rng.random_bool(0.5) {
                    fields.insert(name.clone(), random_value(document, inner, rng));
                }
            }
            Value::Object(fields)
        }
        "string" => random_text(
            rng,
            limit("minLength", 0) as usize,
            limit("maxLength", 20) as usize,
        )
        .into(),
        "integer" | "number" => {
            let (min, max) = (limit("minimum", 0), limit("maximum", 1000));
            let number = if rng.random_bool(0.3) {
                [min, max][rng.random_range(0..2)]
            } else {
                rng.random_range(min..=max)
            };
            if rng.random_bool(0.1) {
                json!(number as f64)
            } else {
                json!(number)
            }
        }
        "boolean" => rng.random_bool(0.5).into(),
        _ => Value::Null,
    }
}

/// A replacement for a value: null or a similar value.
fn altered_value(value: &Value, rng: &mut StdRng) -> Value {
    let similar = match value {
        Value::Number(number) => {
            let number = number.as_f64().unwrap();
            [
                json!(number + 0.5),
                json!(-1),
                json!(256),
                json!(9_007_199_254_740_992u64),
                json!(u64::MAX),
                json!(1e30),
                json!(number.to_string()),
            ][rng.random_range(0..7)]
            .clone()
        }
        Value::String(text) => match rng.random_range(0..4) {
            0 => json!(format!("{text}{}", "x".repeat(130))),
            1 => json!(text.chars().take(7).collect::<String>()),
            2 => json!([text]),
            _ => json!(text.to_uppercase()),
        },
        Value::Bool(flag) => {
            [json!(flag.to_string()), json!(u8::from(*flag))][rng.random_range(0..2)].clone()
        }
        _ => json!({}),
    };
    if rng.random_bool(0.25) {
        Value::Null
    } else {
        similar
    }
}

/// Alters one value or one member of an object at a random place.
fn alter(value: &mut Value, rng: &mut StdRng) {
    let Value::Object(fields) = value else {
        *value = altered_value(value, rng);
        return;
    };
    let names: Vec<String> = fields.keys().cloned().collect();
    match rng.random_range(0..5) {
        0 if !names.is_empty() => drop(fields.remove(&names[rng.random_range(0..names.len())])),
        1 => drop(fields.insert("unknown".into(), json!(1))),
        2 if rng.random_bool(0.3) => *value = Value::Array(fields.values().cloned().collect()),
        _ if !names.is_empty() => {
            let inner = fields
                .get_mut(&names[rng.random_range(0..names.len())])
                .unwrap();
            alter(inner, rng);
        }
        _ => {}
    }
}

#[test]
fn codec_and_schemas_accept_the_same_valid_and_altered_calls() {
    for document in [crankpaddle_api::PRESENT, crankpaddle_api::PREVIOUS] {
        let checker = ConformanceChecker::new(document, crankpaddle_api::OPENAPI).unwrap();
        let document = crankpaddle_api::parsed(document);
        let calls: Vec<Value> = ["open", "resume", "close"]
            .map(|name| document["components"]["messages"][name]["payload"].clone())
            .into();
        let seed = 2026;
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut accepted, mut rejected) = (0, 0);
        for run in 0..CALL_COUNT {
            let mut call = random_value(&document, &calls[run as usize % 3], &mut rng);
            if run % 3 > 0 || rng.random_bool(0.5) {
                for _ in 0..rng.random_range(0..3) {
                    alter(&mut call, &mut rng);
                }
            }
            let text = call.to_string();
            // The schemas check the parsed call, because parsing may lose the last digits of a number.
            let parsed: Value = serde_json::from_str(&text).unwrap();
            let by_codec = codec_accepts(&text);
            let by_schemas = checker.allows_call(&parsed);
            assert_eq!(
                by_codec, by_schemas,
                "codec {by_codec}, schemas {by_schemas}: {text}"
            );
            *(if by_codec {
                &mut accepted
            } else {
                &mut rejected
            }) += 1;
        }
        assert!(
            accepted > CALL_COUNT / 5 && rejected > CALL_COUNT / 5,
            "too few of one kind: {accepted} accepted, {rejected} rejected"
        );
    }
}
