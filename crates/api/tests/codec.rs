//! The front's codec and the published schemas come to the same verdict on calls: made from the schemas, and nearly so.
use crankpaddle_api::conform::ConformanceChecker;
use crankpaddle_session_api::jsonrpc::{self, Message};
use crankpaddle_session_api::methods::Method;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Map, Value};

const RUNS: u64 = 20_000;

/// The front's verdict: a call with an id whose method takes its parameters.
fn codec_takes(text: &str) -> bool {
    match jsonrpc::read(text) {
        Message::One(Ok(call)) => {
            call.id.is_some() && Method::parse(&call.method, call.params).is_ok()
        }
        _ => false,
    }
}

fn resolved<'v>(document: &'v Value, schema: &'v Value) -> &'v Value {
    let target = schema["$ref"]
        .as_str()
        .and_then(|r| document.pointer(&r[1..]));
    target.map_or(schema, |target| resolved(document, target))
}

fn text(rng: &mut StdRng, least: usize, most: usize) -> String {
    let length = if rng.random_bool(0.2) {
        [least, most][rng.random_range(0..2)]
    } else {
        rng.random_range(least..=most)
    };
    (0..length)
        .map(|_| ['a', '0', '-', '\u{e9}', '\u{1f600}', ' '][rng.random_range(0..6)])
        .collect()
}

/// A value that a schema allows.
fn made(document: &Value, schema: &Value, rng: &mut StdRng) -> Value {
    let schema = resolved(document, schema);
    if let Some(value) = schema.get("const") {
        return value.clone();
    }
    let kinds: Vec<&str> = match &schema["type"] {
        Value::String(kind) => vec![kind],
        Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).collect(),
        _ => vec!["null"],
    };
    let number = |word: &str, usual: u64| schema[word].as_f64().map_or(usual, |n| n as u64);
    match kinds[rng.random_range(0..kinds.len())] {
        "object" => {
            let required = schema["required"].as_array().cloned().unwrap_or_default();
            let mut fields = Map::new();
            for (name, inner) in schema["properties"].as_object().unwrap() {
                if required.iter().any(|r| r == name) || rng.random_bool(0.5) {
                    fields.insert(name.clone(), made(document, inner, rng));
                }
            }
            Value::Object(fields)
        }
        "string" => text(
            rng,
            number("minLength", 0) as usize,
            number("maxLength", 20) as usize,
        )
        .into(),
        "integer" | "number" => {
            let (least, most) = (number("minimum", 0), number("maximum", 1000));
            let n = if rng.random_bool(0.3) {
                [least, most][rng.random_range(0..2)]
            } else {
                rng.random_range(least..=most)
            };
            if rng.random_bool(0.1) {
                json!(n as f64)
            } else {
                json!(n)
            }
        }
        "boolean" => rng.random_bool(0.5).into(),
        _ => Value::Null,
    }
}

/// Another value than the one that stands there; often one that is nearly right.
fn another(value: &Value, rng: &mut StdRng) -> Value {
    let nearly = match value {
        Value::Number(n) => {
            let n = n.as_f64().unwrap();
            [
                json!(n + 0.5),
                json!(-1),
                json!(256),
                json!(9_007_199_254_740_992u64),
                json!(u64::MAX),
                json!(1e30),
                json!(n.to_string()),
            ][rng.random_range(0..7)]
            .clone()
        }
        Value::String(s) => match rng.random_range(0..4) {
            0 => json!(format!("{s}{}", "x".repeat(130))),
            1 => json!(s.chars().take(7).collect::<String>()),
            2 => json!([s]),
            _ => json!(s.to_uppercase()),
        },
        Value::Bool(b) => {
            [json!(b.to_string()), json!(u8::from(*b))][rng.random_range(0..2)].clone()
        }
        _ => json!({}),
    };
    if rng.random_bool(0.25) {
        Value::Null
    } else {
        nearly
    }
}

/// Changes something, somewhere.
fn changed(value: &mut Value, rng: &mut StdRng) {
    let Value::Object(fields) = value else {
        *value = another(value, rng);
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
            changed(inner, rng);
        }
        _ => {}
    }
}

#[test]
fn codec_and_descriptions_come_to_the_same_verdict_on_valid_and_nearly_valid_calls() {
    for document in [crankpaddle_api::PRESENT, crankpaddle_api::PREVIOUS] {
        let checker = ConformanceChecker::new(document, crankpaddle_api::OPENAPI).unwrap();
        let document = crankpaddle_api::parsed(document);
        let calls: Vec<Value> = ["open", "resume", "close"]
            .map(|name| document["components"]["messages"][name]["payload"].clone())
            .into();
        let seed = 2026;
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut taken, mut refused) = (0, 0);
        for n in 0..RUNS {
            let mut call = made(&document, &calls[n as usize % 3], &mut rng);
            if n % 3 > 0 || rng.random_bool(0.5) {
                (0..rng.random_range(0..3)).for_each(|_| changed(&mut call, &mut rng));
            }
            let said = call.to_string();
            // As it was read: a text's fraction at the end of what a float holds may be lost in reading it.
            let read: Value = serde_json::from_str(&said).unwrap();
            let (codec, described) = (codec_takes(&said), checker.allows_call(&read));
            assert_eq!(
                codec, described,
                "codec {codec}, description {described}: {said}"
            );
            *(if codec { &mut taken } else { &mut refused }) += 1;
        }
        assert!(
            taken > RUNS / 5 && refused > RUNS / 5,
            "{taken} taken, {refused} refused: one side is hardly tried"
        );
    }
}
