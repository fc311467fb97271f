use crankpaddle_net::*;
use may::sync::mpsc::channel;
fn main() {
    let w = std::env::args().nth(1).and_then(|w| w.parse().ok());
    start(w);
    let (done, result) = std::sync::mpsc::channel();
    let (tx, rx) = channel::<u8>();
    spawn(Stack::Large, move || {
        let mut late = vec![];
        for i in 0..200u64 {
            let until = clock::now() + 3_000_000 + (i % 50) * 1_000_000;
            while let Ok(_) = recv_until(&rx, until) {}
            late.push((clock::now() - until) / 1000);
        }
        late.sort();
        let _ = done.send(late);
    });
    let t = tx.clone();
    spawn(Stack::Usual, move || for i in 0..2000 { sleep(std::time::Duration::from_millis(i % 7)); let _ = t.send(1); });
    let late = result.recv().unwrap();
    println!("median {} p90 {} max {} us", late[100], late[180], late[199]);
    std::mem::forget(tx);
}
