use super::*;

/// Guards against texts that fill the memory while the disk is slow.
#[test]
fn one_text_is_queued_at_most_and_the_last_one_is_taken_after_the_close() {
    let latest = LatestText::default();
    for number in 0..1000 {
        latest.replace(number.to_string());
    }
    assert_eq!(latest.take().as_deref(), Some("999"));
    latest.replace("last".to_owned());
    latest.close();
    assert_eq!(latest.take().as_deref(), Some("last"));
    assert_eq!(latest.take(), None);
}

#[test]
fn a_writer_has_written_the_last_text_when_its_thread_has_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("text");
    let writer = FileWriter::start(Some(path.clone()), "text of the test");
    for number in 0..100 {
        writer.write(number.to_string());
    }
    let thread = writer.finish().expect("a thread");
    thread.join().expect("the thread ends");
    assert_eq!(fs::read_to_string(path).expect("a file"), "99");
}
