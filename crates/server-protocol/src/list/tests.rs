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

fn ids(cached: &CachedEndpoints) -> Vec<u32> {
    cached.servers().iter().map(|entry| entry.id).collect()
}

#[test]
fn deltas_apply_in_order_and_stale_ones_are_dropped() {
    let mut cached = CachedEndpoints::default();
    let list = |serial, servers| EndpointListBody { serial, servers };
    assert!(cached.apply(
        EndpointListKind::Full,
        &list(
            3,
            vec![
                entry(1, EndpointState::Ready),
                entry(2, EndpointState::Ready)
            ]
        )
    ));
    assert!(cached.apply(
        EndpointListKind::Delta,
        &list(
            4,
            vec![
                entry(1, EndpointState::Gone),
                entry(3, EndpointState::Draining)
            ]
        )
    ));
    assert!(!cached.apply(
        EndpointListKind::Delta,
        &list(4, vec![entry(2, EndpointState::Gone)])
    ));
    assert_eq!(ids(&cached), [2, 3]);
    let restored = CachedEndpoints::from_text(&cached.text()).unwrap();
    assert_eq!(restored.servers(), cached.servers());
    assert!(CachedEndpoints::from_text("{").is_err());
}

#[test]
fn encoded_lists_are_parsed_back_and_unknown_names_are_rejected() {
    let list = EndpointListBody {
        serial: 9,
        servers: vec![entry(4, EndpointState::Draining)],
    };
    let mut events = Vec::new();
    sse::EventDecoder::default()
        .feed(&write(EndpointListKind::Delta, &list), &mut events)
        .unwrap();
    assert_eq!(
        read(&events[0]).unwrap(),
        Some((EndpointListKind::Delta, list.clone()))
    );
    let names = |name: &str| vec![name.to_owned()];
    let endpoint = list.servers[0]
        .to_endpoint(&names("n"), &names("std"))
        .unwrap();
    assert_eq!(
        (endpoint.lifecycle, endpoint.started_at),
        (Lifecycle::Draining, Time(5_000_000))
    );
    assert!(list.servers[0]
        .to_endpoint(&names("m"), &names("std"))
        .is_none());
}
