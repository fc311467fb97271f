use super::*;

fn entry(id: u32, state: EndpointState) -> EndpointEntry {
    let (zone, kind, address) = ("n".into(), "std".into(), "127.0.0.1:1".parse().unwrap());
    EndpointEntry {
        id,
        zone,
        kind,
        cell: 0,
        state,
        weight: 1.0,
        started_ms: 5,
        address,
    }
}

fn ids(held: &CachedEndpoints) -> Vec<u32> {
    held.servers().iter().map(|e| e.id).collect()
}

#[test]
fn changes_apply_in_order_and_old_ones_are_dropped() {
    let mut held = CachedEndpoints::default();
    let list = |serial, servers| EndpointListBody { serial, servers };
    assert!(held.take(
        EndpointListKind::Full,
        &list(
            3,
            vec![
                entry(1, EndpointState::Ready),
                entry(2, EndpointState::Ready)
            ]
        )
    ));
    assert!(held.take(
        EndpointListKind::Delta,
        &list(
            4,
            vec![
                entry(1, EndpointState::Gone),
                entry(3, EndpointState::Draining)
            ]
        )
    ));
    assert!(!held.take(
        EndpointListKind::Delta,
        &list(4, vec![entry(2, EndpointState::Gone)])
    ));
    assert_eq!(ids(&held), [2, 3]);
    let again = CachedEndpoints::from_text(&held.text()).unwrap();
    assert_eq!(again.servers(), held.servers());
    assert!(CachedEndpoints::from_text("{").is_err());
}

#[test]
fn what_is_written_is_read_and_unknown_names_are_not_guessed() {
    let list = EndpointListBody {
        serial: 9,
        servers: vec![entry(4, EndpointState::Draining)],
    };
    let mut events = Vec::new();
    sse::Reader::default()
        .feed(&write(EndpointListKind::Delta, &list), &mut events)
        .unwrap();
    assert_eq!(
        read(&events[0]),
        Ok(Some((EndpointListKind::Delta, list.clone())))
    );
    let names = |n: &str| vec![n.to_owned()];
    let known = listing(&list.servers[0], &names("n"), &names("std")).unwrap();
    assert_eq!(
        (known.lifecycle, known.started_at),
        (Lifecycle::Draining, Time(5_000_000))
    );
    assert!(listing(&list.servers[0], &names("m"), &names("std")).is_none());
}
