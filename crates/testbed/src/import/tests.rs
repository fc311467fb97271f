use super::*;
use crate::script;

/// A small day file in the format of the bench, with these faults.
fn sample(faults: &str) -> String {
    format!(
        r#"{{"site":"sample","kind":"trouble","length":20000000,"zones":["n","s"],"traffic":{{"load":0.5}},
            "clients":{{"honour":0.5,"max_retry_after":1000000}},"discovery":{{"notice":900000}},
            "allow":{{"max_attempts":4}},"fall_multiple":2.5,"fall_for":1000000,
            "classes":[{{"name":"a","share":0.4,"work":50000,"aim":800000,"deadline":4000000,"worth":2,"effect":"unsafe","group":"all","window":1}},
                       {{"name":"b","share":0.6,"work":50000,"aim":800000,"deadline":4000000,"worth":1,"effect":"keyed","group":"zone","window":2000000}}],
            "tiers":[{{"kinds":[{{"name":"k","cores":3}}],"stated_cold":9000000,"stated_cold_from":0.4}}],
            "servers":[{{}},{{}},{{}},{{}},{{}},{{}}],"balancers":[{{}},{{}},{{}},{{}}],
            "fam":{{"capacity":4,"cells":6,"core_kb":2000,"core_slots":8,"life_s":20,"racks":2,"rates":[200,500,1500],"worth":[0.2,0.6,1],
            "uplink_kb":[30000,20000],"uses":[{{"floor":0,"top":9,"scale":1.4,"seats":0,"live":false}},{{"floor":1,"top":9,"scale":1,"seats":3,"live":false}}],
            "stall":8,"switch_s":0.5,"see":1000000,"tell":3000000,"title_zipf":0.8,"titles":9,"copies":1.3,"returns":0.9,"rejoin_us":2000000,"guard":0,"join":1}},
            "troubles":[{faults}]}}"#
    )
}

fn fault(kind: &str, size: f64, extra: f64) -> String {
    format!(
        r#"{{"kind":"{kind}","at":2000000,"len":6000000,"size":{size},"extra":{extra},"on":[1,5],"which":1,"steps":[{{"at":3000000,"stop":[2,9]}}]}}"#
    )
}

fn import_and_parse(json: &str) -> (Imported, script::Scenario) {
    let scale = ImportScale {
        rates: 0.1,
        servers: 6,
        fronts: 3,
    };
    let imported = import(json, "x", "x-fleet", scale).unwrap();
    let day = script::parse(&imported.day, |_| {
        Ok::<_, std::convert::Infallible>(imported.fleet.clone())
    });
    let day =
        day.unwrap_or_else(|problems| panic!("{problems:?}\n{}\n{}", imported.day, imported.fleet));
    (imported, day)
}

#[test]
fn every_fault_kind_that_scripts_have_is_imported() {
    use script::FaultKind;
    use std::time::Duration;
    for (kind, size, extra, expected) in [
        ("hang", 0.0, 0.0, FaultKind::Hang),
        ("vanish", 0.0, 0.0, FaultKind::Vanish),
        ("crash", 0.0, 0.0, FaultKind::Crash),
        ("fast_errors", 0.5, 0.0, FaultKind::FastErrors(0.5)),
        ("shared_slow", 1.5, 0.0, FaultKind::Slow(1.5)),
        ("burst", 2.0, 3.0, FaultKind::Burst(2.0)),
        ("hot_key", 0.2, 1.0, FaultKind::LoadSurge(0, 0.2)),
        (
            "discovery_stale",
            3.0,
            0.0,
            FaultKind::ListLate(Duration::from_nanos(3_000_000_000)),
        ),
        ("zone_loss", 0.6, 0.7, FaultKind::Vanish),
        ("deploy", 0.1, 4.0, FaultKind::Drain),
        ("balancer_stall", 1500.0, 3.0, FaultKind::Stall(vec![1, 2])),
    ] {
        let (imported, day) = import_and_parse(&sample(&fault(kind, size, extra)));
        assert!(imported.left_out.is_empty(), "{kind}");
        assert_eq!(day.faults[0].kind, expected, "{kind}");
    }
    let (imported, day) = import_and_parse(&sample(&fault("tenant_burst", 2.0, 1.0)));
    assert_eq!(
        (imported.left_out, day.faults.len()),
        (vec!["tenant_burst".to_owned()], 0)
    );
}

#[test]
fn rates_and_counts_are_scaled_and_class_terms_are_kept() {
    let (_, day) = import_and_parse(&sample(""));
    let config = script::fleet_config(&day.fleet).unwrap();
    assert_eq!((day.rate, day.fronts, day.servers), (2.0, 3, 6));
    assert_eq!(config.settings.rung_kb, [20.0, 50.0, 150.0]);
    assert_eq!(config.settings.link_kb, 600.0);
    assert_eq!(
        (
            config.settings.classes[1].min_rung,
            config.settings.classes[1].max_sessions_per_title
        ),
        (1, 3)
    );
    assert!(import(
        "{}",
        "x",
        "y",
        ImportScale {
            rates: 1.0,
            servers: 1,
            fronts: 1
        }
    )
    .is_err());
}
