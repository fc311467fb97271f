use super::*;

#[test]
fn inventories_may_have_unknown_fields_and_are_rejected_without_incarnations() {
    let text = br#"{"boots":["3","4"],"age_ms":1500,"ran":[{"bill":"b1","later":1}],"later":{}}"#;
    let inventory = read(text).unwrap();
    assert_eq!((inventory.age_ms, inventory.sessions.len()), (1500, 0));
    let converted = inventory.into_recovery();
    assert_eq!(
        converted.completed,
        [Key {
            tenant: String::new(),
            bill: "b1".into()
        }]
    );
    assert!(
        read(br#"{"age_ms":1,"held":[]}"#).is_err(),
        "an inventory without incarnations should be rejected"
    );
}
