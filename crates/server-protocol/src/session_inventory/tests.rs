use super::*;

#[test]
fn a_book_is_read_with_what_later_servers_add_and_refused_where_it_lacks_its_lives() {
    let text =
        br#"{"boots":["3","4"],"age_ms":1500,"ran":[{"bill":"b1","later":1}],"later":{}}"#;
    let book = read(text).unwrap();
    assert_eq!((book.age_ms, book.held.len()), (1500, 0));
    let told = book.into_recovery();
    assert_eq!(
        told.completed,
        [Key {
            tenant: String::new(),
            bill: "b1".into()
        }]
    );
    assert!(
        read(br#"{"age_ms":1,"held":[]}"#).is_err(),
        "without its lives it proves nothing"
    );
}
