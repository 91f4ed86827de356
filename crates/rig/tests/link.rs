//! Links: what they break, and that they change nothing else.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rookspoke_decisions::Span;
use rookspoke_rig::link::{Faults, LinkControl, TcpLink, UdpLink};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const PATIENCE: Duration = Duration::from_secs(20);
/// Nothing that comes through at all takes as long.
const SILENCE: Duration = Duration::from_millis(300);

fn faults(change: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    change(&mut faults);
    faults
}

async fn link() -> (TcpLink, TcpListener) {
    let target = TcpListener::bind(ANY).await.expect("a port");
    let to = target.local_addr().expect("an address");
    (TcpLink::open(ANY, to, LinkControl::default(), 5).await.expect("a link"), target)
}

/// Both ends of a connection over a link.
async fn ends(link: &TcpLink, target: &TcpListener) -> (TcpStream, TcpStream) {
    let near = TcpStream::connect(link.address).await.expect("a connection");
    (near, target.accept().await.expect("a connection").0)
}

async fn read(from: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    let read = tokio::time::timeout(PATIENCE, from.read_exact(&mut bytes)).await;
    read.expect("in time").expect("all of it");
    bytes
}

async fn is_silent(from: &mut TcpStream) -> bool {
    tokio::time::timeout(SILENCE, from.read(&mut [0; 8])).await.is_err()
}

#[tokio::test]
async fn bytes_come_through_as_they_are_both_ways_and_ends_apart() {
    let (link, target) = link().await;
    let (mut near, mut far) = ends(&link, &target).await;
    let sent: Vec<u8> = (0..400_000_u32).flat_map(|n| n.wrapping_mul(2_654_435_761).to_le_bytes()).collect();
    let (mut near_in, mut near_out) = near.split();
    let (mut far_in, mut far_out) = far.split();
    let (mut there, mut back) = (Vec::new(), Vec::new());
    let goes = async {
        near_out.write_all(&sent).await.expect("sent");
        near_out.shutdown().await.expect("its end");
    };
    let comes = async {
        far_in.read_to_end(&mut there).await.expect("all");
        // The other direction is open still.
        far_out.write_all(&sent[7..]).await.expect("sent");
        far_out.shutdown().await.expect("its end");
    };
    let read = async { near_in.read_to_end(&mut back).await.expect("all") };
    tokio::time::timeout(PATIENCE, async { tokio::join!(goes, comes, read) }).await.expect("in time");
    assert!(there == sent && back == sent[7..]);
}

#[tokio::test]
async fn a_cut_holds_one_direction_and_healing_lets_it_through() {
    let (link, target) = link().await;
    let (mut near, mut far) = ends(&link, &target).await;
    link.control.set(Faults::default(), faults(|f| f.cut = true));
    near.write_all(b"there").await.expect("sent");
    assert_eq!(read(&mut far, 5).await, b"there");
    far.write_all(b"back").await.expect("sent");
    assert!(is_silent(&mut near).await);
    link.control.heal();
    assert_eq!(read(&mut near, 4).await, b"back");
    link.control.cut_both_ways();
    near.write_all(b"more").await.expect("sent");
    assert!(is_silent(&mut far).await);
}

/// A link that had no turn since let through whole, at times, what came after it was made slow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_comes_after_a_link_was_made_slow_comes_slowly() {
    for at in 0..20 {
        let (link, target) = link().await;
        let (mut near, mut far) = ends(&link, &target).await;
        near.write_all(b"0").await.expect("sent");
        assert_eq!(read(&mut far, 1).await, b"0");
        let sends = tokio::spawn(async move {
            link.control.set(faults(|f| f.rate = 40.0), Faults::default());
            near.try_write(&[1; 400]).expect("sent");
            // The link's own turn comes only now, with both to find.
            std::thread::sleep(Duration::from_millis(10));
            (link, near)
        });
        let _open = sends.await.expect("sent");
        let mut come = vec![0; 400];
        let came = tokio::time::timeout(Duration::from_millis(50), far.read_exact(&mut come)).await;
        assert!(came.is_err(), "all at once, connection {at}");
    }
}

#[tokio::test]
async fn a_connection_is_reset_at_its_byte_and_both_ends_hear_of_it() {
    let (link, target) = link().await;
    link.control.set(faults(|f| f.reset_at = 10.0), Faults::default());
    let (mut near, mut far) = ends(&link, &target).await;
    near.write_all(b"0123456").await.expect("sent");
    assert_eq!(read(&mut far, 7).await, b"0123456");
    near.write_all(b"789abcdef").await.expect("sent");
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(PATIENCE, far.read_to_end(&mut rest)).await.expect("in time");
    assert!(ended.is_err() && rest.len() <= 3, "{ended:?} after {rest:?}");
    let heard = tokio::time::timeout(PATIENCE, near.read(&mut [0; 8])).await.expect("in time");
    assert!(heard.is_err(), "{heard:?}");
}

#[tokio::test]
async fn a_reset_of_one_end_reaches_the_other() {
    let (link, target) = link().await;
    let (near, mut far) = ends(&link, &target).await;
    near.set_zero_linger().expect("linger");
    drop(near);
    let heard = tokio::time::timeout(PATIENCE, far.read(&mut [0; 8])).await.expect("in time");
    assert!(heard.is_err(), "{heard:?}");
}

#[tokio::test]
async fn who_is_refused_hears_it_at_once_and_may_come_back() {
    let (link, target) = link().await;
    link.control.set(faults(|f| f.refuse = true), Faults::default());
    let start = Instant::now();
    while TcpStream::connect(link.address).await.is_ok() {
        assert!(start.elapsed() < PATIENCE, "it listens still");
    }
    link.control.heal();
    while TcpStream::connect(link.address).await.is_err() {
        assert!(start.elapsed() < PATIENCE, "it does not come back");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(target);
}

#[tokio::test]
async fn delay_and_rate_hold_up_and_lose_nothing() {
    let (link, target) = link().await;
    link.control.set(faults(|f| f.delay = Span(150_000)), Faults::default());
    let (mut near, mut far) = ends(&link, &target).await;
    let start = Instant::now();
    near.write_all(b"late").await.expect("sent");
    assert_eq!(read(&mut far, 4).await, b"late");
    assert!(start.elapsed() >= Duration::from_millis(150));
    link.control.set(faults(|f| f.rate = 20_000.0), Faults::default());
    let start = Instant::now();
    near.write_all(&[7; 8_000]).await.expect("sent");
    assert_eq!(read(&mut far, 8_000).await, [7; 8_000]);
    near.write_all(&[8; 10]).await.expect("sent");
    assert_eq!(read(&mut far, 10).await, [8; 10]);
    assert!(start.elapsed() >= Duration::from_millis(390), "{:?}", start.elapsed());
}

/// Which of so many numbered datagrams come out.
async fn numbers(seed: u64, there: Faults) -> Vec<u8> {
    let target = UdpSocket::bind(ANY).await.expect("a port");
    let to = target.local_addr().expect("an address");
    let link = UdpLink::open(ANY, to, LinkControl::default(), seed).await.expect("a link");
    link.control.set(there, Faults::default());
    let near = UdpSocket::bind(ANY).await.expect("a port");
    let mut came = Vec::new();
    let mut buffer = [0; 8];
    for number in 0..100 {
        near.send_to(&[number], link.address).await.expect("sent");
        // One after the other, so that the system drops none by itself.
        let start = Instant::now();
        while link.counts().received <= u64::from(number) {
            assert!(start.elapsed() < PATIENCE, "it did not come");
            tokio::task::yield_now().await;
        }
    }
    let counts = link.counts();
    assert_eq!(counts.over_capacity, 0);
    while let Ok(read) = tokio::time::timeout(SILENCE, target.recv_from(&mut buffer)).await {
        read.expect("a datagram");
        came.push(buffer[0]);
    }
    came
}

#[tokio::test]
async fn the_same_seed_drops_the_same_numbered_datagrams() {
    let lossy = faults(|f| f.loss = 0.3);
    let first = numbers(3, lossy).await;
    assert!((40..95).contains(&first.len()), "{}", first.len());
    assert_eq!(first, numbers(3, lossy).await);
    assert_ne!(first, numbers(4, lossy).await);
    let twice = numbers(3, faults(|f| f.duplicate = 1.0)).await;
    assert_eq!(twice.len(), 200);
    let mut passed = numbers(3, faults(|f| f.reorder = 0.3)).await;
    assert!(!passed.is_sorted(), "{passed:?}");
    passed.sort_unstable();
    assert_eq!(passed, (0..100).collect::<Vec<u8>>());
}

#[tokio::test]
async fn answers_to_datagrams_find_their_sender() {
    let target = UdpSocket::bind(ANY).await.expect("a port");
    let to = target.local_addr().expect("an address");
    let link = UdpLink::open(ANY, to, LinkControl::default(), 1).await.expect("a link");
    let (one, two) =
        (UdpSocket::bind(ANY).await.expect("a port"), UdpSocket::bind(ANY).await.expect("a port"));
    let mut buffer = [0; 8];
    for (near, text) in [(&one, b"one"), (&two, b"two")] {
        near.send_to(text, link.address).await.expect("sent");
        let (_, from) = target.recv_from(&mut buffer).await.expect("it comes");
        target.send_to(text, from).await.expect("answered");
        let (length, from) = near.recv_from(&mut buffer).await.expect("its answer");
        assert_eq!((&buffer[..length], from), (&text[..], link.address));
    }
    link.control.set(Faults::default(), faults(|f| f.cut = true));
    one.send_to(b"more", link.address).await.expect("sent");
    let (_, from) = target.recv_from(&mut buffer).await.expect("it comes");
    target.send_to(b"lost", from).await.expect("answered");
    assert!(tokio::time::timeout(SILENCE, one.recv_from(&mut buffer)).await.is_err());
}

/// What a link that breaks nothing adds to an exchange, against one without it.
/// Run with `cargo test --release -p rookspoke-rig --test link -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "a measurement"]
async fn what_passing_through_adds() {
    let (link, target) = link().await;
    let direct = target.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut far, _)) = target.accept().await {
            far.set_nodelay(true).expect("no delay");
            tokio::spawn(async move {
                let mut bytes = [0; 512];
                while let Ok(read @ 1..) = far.read(&mut bytes).await {
                    far.write_all(&bytes[..read]).await.expect("echoed");
                }
            });
        }
    });
    for (name, to) in [("direct", direct), ("link", link.address), ("direct", direct), ("link", link.address)]
    {
        let mut near = TcpStream::connect(to).await.expect("a connection");
        near.set_nodelay(true).expect("no delay");
        let mut took = Vec::new();
        for _ in 0..20_000 {
            let start = Instant::now();
            near.write_all(&[1; 300]).await.expect("sent");
            read(&mut near, 300).await;
            took.push(start.elapsed().as_micros());
        }
        took.sort_unstable();
        println!("{name}: p50 {} us, p99 {} us, most {} us", took[10_000], took[19_800], took[19_999]);
    }
}
