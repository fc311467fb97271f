//! A deployment with unusual settings: other class names, three kinds of class semantics, no zones, seven tenants, and a class
//! whose lowest rung is above the first. Servers accept, reject and fail set-ups, and the rules of each class hold.
mod support;
use crankpaddle_node_protocol::rtsp::Message;
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use support::*;

const CLASSES: [&str; 3] = ["amber", "birch", "cedar"];
const REQUEST_COUNT: u64 = 63;

/// What was observed of one request.
#[derive(Default)]
struct RequestHistory {
    class: usize,
    sent: u32,
    may_have_run: bool,
    answers: u32,
}

/// The history of each request, by session id.
type Requests = BTreeMap<String, RequestHistory>;

/// An attempt that a server has not answered.
struct Outstanding<'a> {
    server: &'a TestServer,
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

fn send_requests(viewer: &mut TestViewer) -> Requests {
    let mut requests = Requests::new();
    for n in 1..=REQUEST_COUNT {
        let class = n as usize % 3;
        let mut request = start_message(tag(n), CLASSES[class], "8000", "");
        request["opts"]["tenant"] = json!(format!("t{}", n % 7));
        viewer.send_json(&request);
        let history = RequestHistory {
            class,
            ..RequestHistory::default()
        };
        requests.insert(tag(n).as_str().to_owned(), history);
    }
    requests
}

/// Takes all set-ups that the servers have received, and asserts that each is allowed by the rules of its class.
fn take_outstanding_attempts<'a>(
    servers: &'a [TestServer],
    requests: &mut Requests,
) -> BTreeMap<String, Outstanding<'a>> {
    let mut out = BTreeMap::new();
    for server in servers {
        while let Some((connection, message)) = server.try_take_request("SETUP") {
            let session = session_id_of(&message);
            let history = requests
                .get_mut(session.as_str())
                .expect("a request that a viewer sent");
            assert_attempt_allowed(history, &message);
            let attempt = Outstanding {
                server,
                connection,
                session,
            };
            assert!(
                out.insert(session.as_str().to_owned(), attempt).is_none(),
                "two attempts are outstanding for {session}"
            );
        }
    }
    out
}

fn assert_attempt_allowed(history: &mut RequestHistory, message: &Message) {
    let session = session_id_of(message);
    assert!(
        !(history.class == 0 && history.may_have_run),
        "{session} may have run and was sent again"
    );
    assert_eq!(message.header("Subject"), Some(CLASSES[history.class]));
    let rung: u8 = message
        .header("Rate-Step")
        .map_or(0, |r| r.parse().unwrap());
    let (min_rung, max_rung) = [(1, 2), (0, 2), (0, 1)][history.class];
    assert!(
        (min_rung..=max_rung).contains(&rung),
        "{session} at rung {rung}"
    );
    history.sent += 1;
    assert!(
        history.sent <= 4,
        "{session} was sent {} times",
        history.sent
    );
}

/// Sends an echo request and reads all messages before its answer. Returns how many set-ups were answered.
fn read_answers(viewer: &mut TestViewer, requests: &mut Requests) -> u64 {
    viewer.send_json(&json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0}));
    let mut answered = 0;
    loop {
        let line = viewer.next_message();
        if line["verb"] == "ECHOED" {
            return answered;
        }
        let history = requests
            .get_mut(line["tag"].as_str().unwrap())
            .expect("an answer to a request");
        history.answers += 1;
        answered += 1;
        assert_eq!(history.answers, 1, "{line}");
        let refused =
            line["verb"] == "FINISH" && [34, 42, 102].contains(&line["rc"].as_u64().unwrap());
        assert!(
            !(refused && history.class == 0 && history.may_have_run),
            "a rejection states that nothing ran: {line}"
        );
    }
}

#[test]
fn a_deployment_with_other_names_is_served_by_the_same_rules() {
    let harness = Harness::start_with(3, deployment);
    let mut viewer = harness.viewer();
    assert_eq!(viewer.echo()["rc"], 1);
    let mut requests = send_requests(&mut viewer);
    let (mut answered, mut received) = (0, 0u64);
    while answered < REQUEST_COUNT {
        // In each round all attempts that the servers have received are taken and answered in one of four ways in turn, and
        // then the viewer's answers are read.
        for (name, attempt) in take_outstanding_attempts(&harness.servers, &mut requests) {
            received += 1;
            let history = requests.get_mut(&name).expect("just looked at");
            history.may_have_run |= received % 4 != 0;
            let answer = match received % 4 {
                0 => response(453, 1, attempt.session, "", ""),
                1 => response(500, 1, attempt.session, "", ""),
                _ => ok_response(attempt.session, "described"),
            };
            attempt.server.send(attempt.connection, &answer);
        }
        answered += read_answers(&mut viewer, &mut requests);
    }
    let established = harness.node.counts().playing;
    assert!(
        established > 20,
        "{established} of {REQUEST_COUNT} sessions are established"
    );
}
