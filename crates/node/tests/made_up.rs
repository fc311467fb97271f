//! A deployment that nobody has: other class names, three effects, no zones, seven tenants, a floor over the lowest rung. All of it
//! comes from the settings; servers answer in every way there is, and the rules hold.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod support;
use serde_json::json;
use std::collections::BTreeMap;
use support::*;

const CLASSES: [&str; 3] = ["amber", "birch", "cedar"];
const REQUESTS: u64 = 63;

#[derive(Default)]
struct Story {
    class: usize,
    sent: u32,
    may_have_run: bool,
    answers: u32,
}

#[test]
fn a_deployment_of_other_names_is_served_with_the_rules_kept() {
    let harness = Harness::start_with(3, |config| {
        let class = |name: &str, semantics: &str, span: u64| {
            json!({"name": name, "aim": 2_000_000_000u64, "deadline": 9_000_000_000u64, "semantics": semantics,
                "key-scope": "all", "memory-span": span, "worth": 1.5})
        };
        let settings = &mut config["settings"];
        settings["azs"] = json!([]);
        settings["services"] = json!([
            class(CLASSES[0], "single_shot", 0),
            class(CLASSES[1], "guarded", 60_000_000_000),
            class(CLASSES[2], "free", 0)
        ]);
        let info = &mut settings["family-info"];
        info["class-top"] = json!([2, 2, 1]);
        info["lowest-rung"] = json!([1, 0, 0]);
        info["rate-factor"] = json!([1.0, 0.5, 2.0]);
        info["level-kb"] = json!([50.0, 110.0, 260.0]);
        info["rung-worth"] = json!([0.2, 0.6, 1.0]);
        let party =
            |n: usize| json!({"name": format!("t{n}"), "quota_per_s": 50.0, "quota-per-s": 50.0});
        settings["parties"] = json!((0..7).map(party).collect::<Vec<_>>());
        for instance in config["known"]["results"][0]["fleet"]["instances"]
            .as_array_mut()
            .unwrap()
        {
            instance["zone"] = json!("");
        }
    });
    let mut viewer = harness.viewer();
    assert_eq!(viewer.echo()["rc"], 1);
    let mut stories: BTreeMap<String, Story> = BTreeMap::new();
    for n in 1..=REQUESTS {
        let class = n as usize % 3;
        let mut asked = set_up(tag(n), CLASSES[class], "8000", "");
        asked["opts"]["tenant"] = json!(format!("t{}", n % 7));
        viewer.send_json(&asked);
        stories.insert(
            tag(n).as_str().to_owned(),
            Story {
                class,
                ..Story::default()
            },
        );
    }
    let (mut answered, mut heard) = (0, 0u64);
    while answered < REQUESTS {
        // All that lies at the servers is out together; then each is answered, each way in turn; then the answers are read.
        let mut out = BTreeMap::new();
        for server in &harness.servers {
            while let Some((conn, message)) = server.try_take_request("SETUP") {
                let of = session_of(&message);
                let story = stories
                    .get_mut(of.as_str())
                    .expect("a request that a viewer sent");
                assert!(
                    !(story.class == 0 && story.may_have_run),
                    "what may have run once is sent again: {of}"
                );
                assert_eq!(message.header("Subject"), Some(CLASSES[story.class]));
                let rung: u8 = message
                    .header("Rate-Step")
                    .map_or(0, |r| r.parse().unwrap());
                let (floor, top) = [(1, 2), (0, 2), (0, 1)][story.class];
                assert!((floor..=top).contains(&rung), "{of} at rung {rung}");
                story.sent += 1;
                assert!(story.sent <= 4, "{of} was sent {} times", story.sent);
                assert!(
                    out.insert(of.as_str().to_owned(), (server, conn, of))
                        .is_none(),
                    "two attempts out for {of}"
                );
            }
        }
        for (name, (server, conn, of)) in out {
            heard += 1;
            let story = stories.get_mut(&name).expect("just looked at");
            story.may_have_run |= heard % 4 != 0;
            let answer = match heard % 4 {
                0 => response(453, 1, of, "", ""),
                1 => response(500, 1, of, "", ""),
                _ => accepted(of, "described"),
            };
            server.send(conn, &answer);
        }
        viewer.send_json(&json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0}));
        loop {
            let line = viewer.next_message();
            if line["verb"] == "ECHOED" {
                break;
            }
            let story = stories
                .get_mut(line["tag"].as_str().unwrap())
                .expect("an answer to a request");
            story.answers += 1;
            answered += 1;
            assert_eq!(story.answers, 1, "{line}");
            let refused =
                line["verb"] == "FINISH" && [34, 42, 102].contains(&line["rc"].as_u64().unwrap());
            assert!(
                !(refused && story.class == 0 && story.may_have_run),
                "a refusal says that nothing ran: {line}"
            );
        }
    }
    let stood = harness.node.counts().playing;
    assert!(stood > 20, "{stood} of {REQUESTS} stand");
}
