//! A deployment with unusual settings: other class names, three effects, no zones, seven tenants, a floor over the
//! lowest rung. All of it comes from the settings; servers answer in every way there is, and the rules hold.
mod support;
use crankpaddle_node_protocol::rtsp::Message;
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use support::*;

const CLASSES: [&str; 3] = ["amber", "birch", "cedar"];
const REQUESTS: u64 = 63;

/// What has happened to one request.
#[derive(Default)]
struct Story {
    class: usize,
    sent: u32,
    may_have_run: bool,
    answers: u32,
}

/// Requests by their session's id.
type Stories = BTreeMap<String, Story>;

/// An attempt that a server has not answered.
struct Outstanding<'a> {
    server: &'a Server,
    connection: usize,
    session: Tag,
}

fn deployment(config: &mut Value) {
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
}

fn send_requests(viewer: &mut Viewer) -> Stories {
    let mut stories = Stories::new();
    for n in 1..=REQUESTS {
        let class = n as usize % 3;
        let mut request = set_up(tag(n), CLASSES[class], "8000", "");
        request["opts"]["tenant"] = json!(format!("t{}", n % 7));
        viewer.send_json(&request);
        let story = Story {
            class,
            ..Story::default()
        };
        stories.insert(tag(n).as_str().to_owned(), story);
    }
    stories
}

/// Takes all set-ups that the servers have received, and checks each against the rules.
fn take_attempts<'a>(
    servers: &'a [Server],
    stories: &mut Stories,
) -> BTreeMap<String, Outstanding<'a>> {
    let mut out = BTreeMap::new();
    for server in servers {
        while let Some((connection, message)) = server.try_take_request("SETUP") {
            let session = session_of(&message);
            let story = stories
                .get_mut(session.as_str())
                .expect("a request that a viewer sent");
            check_attempt(story, &message);
            let attempt = Outstanding {
                server,
                connection,
                session,
            };
            assert!(
                out.insert(session.as_str().to_owned(), attempt).is_none(),
                "two attempts out for {session}"
            );
        }
    }
    out
}

fn check_attempt(story: &mut Story, message: &Message) {
    let session = session_of(message);
    assert!(
        !(story.class == 0 && story.may_have_run),
        "what may have run once is sent again: {session}"
    );
    assert_eq!(message.header("Subject"), Some(CLASSES[story.class]));
    let rung: u8 = message
        .header("Rate-Step")
        .map_or(0, |r| r.parse().unwrap());
    let (floor, top) = [(1, 2), (0, 2), (0, 1)][story.class];
    assert!((floor..=top).contains(&rung), "{session} at rung {rung}");
    story.sent += 1;
    assert!(story.sent <= 4, "{session} was sent {} times", story.sent);
}

/// Sends an echo and reads the answers before its own; returns how many there were.
fn read_answers(viewer: &mut Viewer, stories: &mut Stories) -> u64 {
    viewer.send_json(&json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0}));
    let mut answered = 0;
    loop {
        let line = viewer.next_message();
        if line["verb"] == "ECHOED" {
            return answered;
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
            "a rejection states that nothing ran: {line}"
        );
    }
}

#[test]
fn a_deployment_with_other_names_is_served_by_the_same_rules() {
    let harness = Harness::start_with(3, deployment);
    let mut viewer = harness.viewer();
    assert_eq!(viewer.echo()["rc"], 1);
    let mut stories = send_requests(&mut viewer);
    let (mut answered, mut received) = (0, 0u64);
    while answered < REQUESTS {
        // All attempts that the servers have received are taken; then each is answered, each way in turn; then the viewer's
        // answers are read.
        for (name, attempt) in take_attempts(&harness.servers, &mut stories) {
            received += 1;
            let story = stories.get_mut(&name).expect("just looked at");
            story.may_have_run |= received % 4 != 0;
            let answer = match received % 4 {
                0 => response(453, 1, attempt.session, "", ""),
                1 => response(500, 1, attempt.session, "", ""),
                _ => accepted(attempt.session, "described"),
            };
            attempt.server.send(attempt.connection, &answer);
        }
        answered += read_answers(&mut viewer, &mut stories);
    }
    let established = harness.node.counts().playing;
    assert!(established > 20, "{established} of {REQUESTS} stand");
}
