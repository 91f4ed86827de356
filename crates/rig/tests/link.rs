//! Links: what they break, and that they change nothing else.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rookspoke_decisions::Span;
use rookspoke_rig::link::{Faults, LinkControl, TcpLink, UdpLink};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any data that is forwarded at all takes to arrive.
const SILENCE: Duration = Duration::from_millis(300);

fn faults(change: impl FnOnce(&mut Faults)) -> Faults {
    let mut faults = Faults::default();
    change(&mut faults);
    faults
}

async fn link() -> (TcpLink, TcpListener) {
    let target = TcpListener::bind(ANY).await.expect("a free port");
    let to = target.local_addr().expect("an address");
    (TcpLink::open(ANY, to, LinkControl::default(), 5).await.expect("a link"), target)
}

/// Opens a connection over a link and returns its two ends.
async fn ends(link: &TcpLink, target: &TcpListener) -> (TcpStream, TcpStream) {
    let client = TcpStream::connect(link.address).await.expect("a connection");
    (client, target.accept().await.expect("a connection").0)
}

async fn read(from: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    let read = tokio::time::timeout(TIMEOUT, from.read_exact(&mut bytes)).await;
    read.expect("in time").expect("all of it");
    bytes
}

async fn is_silent(from: &mut TcpStream) -> bool {
    tokio::time::timeout(SILENCE, from.read(&mut [0; 8])).await.is_err()
}

#[tokio::test]
async fn bytes_pass_unchanged_in_both_directions_and_each_direction_closes_by_itself() {
    let (link, target) = link().await;
    let (mut client, mut server) = ends(&link, &target).await;
    let sent: Vec<u8> = (0..400_000_u32).flat_map(|n| n.wrapping_mul(2_654_435_761).to_le_bytes()).collect();
    let (mut client_read, mut client_write) = client.split();
    let (mut server_read, mut server_write) = server.split();
    let (mut there, mut back) = (Vec::new(), Vec::new());
    let send = async {
        client_write.write_all(&sent).await.expect("sent");
        client_write.shutdown().await.expect("its end");
    };
    let echo = async {
        server_read.read_to_end(&mut there).await.expect("all");
        // The other direction is still open.
        server_write.write_all(&sent[7..]).await.expect("sent");
        server_write.shutdown().await.expect("its end");
    };
    let read = async { client_read.read_to_end(&mut back).await.expect("all") };
    tokio::time::timeout(TIMEOUT, async { tokio::join!(send, echo, read) }).await.expect("in time");
    assert!(there == sent && back == sent[7..]);
}

#[tokio::test]
async fn a_cut_holds_back_one_direction_and_its_data_passes_after_healing() {
    let (link, target) = link().await;
    let (mut client, mut server) = ends(&link, &target).await;
    link.control.set(Faults::default(), faults(|f| f.cut = true));
    client.write_all(b"there").await.expect("sent");
    assert_eq!(read(&mut server, 5).await, b"there");
    server.write_all(b"back").await.expect("sent");
    assert!(is_silent(&mut client).await);
    link.control.heal();
    assert_eq!(read(&mut client, 4).await, b"back");
    link.control.cut_both_ways();
    client.write_all(b"more").await.expect("sent");
    assert!(is_silent(&mut server).await);
}

/// A limited rate applies to data sent after it was set, even if the link's task wakes to find both at once. Without an
/// order between the two, such data sometimes passed all at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn data_sent_after_a_rate_was_set_passes_at_that_rate() {
    for at in 0..20 {
        let (link, target) = link().await;
        let (mut client, mut server) = ends(&link, &target).await;
        client.write_all(b"0").await.expect("sent");
        assert_eq!(read(&mut server, 1).await, b"0");
        let sender = tokio::spawn(async move {
            link.control.set(faults(|f| f.rate = 40.0), Faults::default());
            client.try_write(&[1; 400]).expect("sent");
            // The link's task runs only after this, and finds the new rate and the data together.
            std::thread::sleep(Duration::from_millis(10));
            (link, client)
        });
        let _open = sender.await.expect("sent");
        let mut bytes = vec![0; 400];
        let received = tokio::time::timeout(Duration::from_millis(50), server.read_exact(&mut bytes)).await;
        assert!(received.is_err(), "connection {at} passed all bytes at once");
    }
}

#[tokio::test]
async fn a_connection_is_reset_at_the_configured_byte_at_both_ends() {
    let (link, target) = link().await;
    link.control.set(faults(|f| f.reset_at = 10.0), Faults::default());
    let (mut client, mut server) = ends(&link, &target).await;
    client.write_all(b"0123456").await.expect("sent");
    assert_eq!(read(&mut server, 7).await, b"0123456");
    client.write_all(b"789abcdef").await.expect("sent");
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(TIMEOUT, server.read_to_end(&mut rest)).await.expect("in time");
    assert!(ended.is_err() && rest.len() <= 3, "{ended:?} after {rest:?}");
    let result = tokio::time::timeout(TIMEOUT, client.read(&mut [0; 8])).await.expect("in time");
    assert!(result.is_err(), "{result:?}");
}

#[tokio::test]
async fn a_reset_by_one_end_is_forwarded_to_the_other() {
    let (link, target) = link().await;
    let (client, mut server) = ends(&link, &target).await;
    client.set_zero_linger().expect("linger");
    drop(client);
    let result = tokio::time::timeout(TIMEOUT, server.read(&mut [0; 8])).await.expect("in time");
    assert!(result.is_err(), "{result:?}");
}

#[tokio::test]
async fn a_refusing_link_rejects_connections_and_accepts_them_again_after_healing() {
    let (link, target) = link().await;
    link.control.set(faults(|f| f.refuse = true), Faults::default());
    let start = Instant::now();
    while TcpStream::connect(link.address).await.is_ok() {
        assert!(start.elapsed() < TIMEOUT, "the link still accepts connections");
    }
    link.control.heal();
    while TcpStream::connect(link.address).await.is_err() {
        assert!(start.elapsed() < TIMEOUT, "the link still refuses connections");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(target);
}

#[tokio::test]
async fn delay_and_rate_slow_data_down_and_lose_none() {
    let (link, target) = link().await;
    link.control.set(faults(|f| f.delay = Span(150_000)), Faults::default());
    let (mut client, mut server) = ends(&link, &target).await;
    let start = Instant::now();
    client.write_all(b"late").await.expect("sent");
    assert_eq!(read(&mut server, 4).await, b"late");
    assert!(start.elapsed() >= Duration::from_millis(150));
    link.control.set(faults(|f| f.rate = 20_000.0), Faults::default());
    let start = Instant::now();
    client.write_all(&[7; 8_000]).await.expect("sent");
    assert_eq!(read(&mut server, 8_000).await, [7; 8_000]);
    client.write_all(&[8; 10]).await.expect("sent");
    assert_eq!(read(&mut server, 10).await, [8; 10]);
    assert!(start.elapsed() >= Duration::from_millis(390), "{:?}", start.elapsed());
}

/// Sends 100 numbered datagrams over a link and returns the numbers that arrive, in their order.
async fn arrived_numbers(seed: u64, there: Faults) -> Vec<u8> {
    let target = UdpSocket::bind(ANY).await.expect("a free port");
    let to = target.local_addr().expect("an address");
    let link = UdpLink::open(ANY, to, LinkControl::default(), seed).await.expect("a link");
    link.control.set(there, Faults::default());
    let client = UdpSocket::bind(ANY).await.expect("a free port");
    let mut arrived = Vec::new();
    let mut buffer = [0; 8];
    for number in 0..100 {
        client.send_to(&[number], link.address).await.expect("sent");
        // Each datagram waits for the one before, so that the system drops none.
        let start = Instant::now();
        while link.counts().received <= u64::from(number) {
            assert!(start.elapsed() < TIMEOUT, "the link did not receive the datagram");
            tokio::task::yield_now().await;
        }
    }
    let counts = link.counts();
    assert_eq!(counts.over_capacity, 0);
    while let Ok(read) = tokio::time::timeout(SILENCE, target.recv_from(&mut buffer)).await {
        read.expect("a datagram");
        arrived.push(buffer[0]);
    }
    arrived
}

#[tokio::test]
async fn the_same_seed_drops_the_same_numbered_datagrams() {
    let lossy = faults(|f| f.loss = 0.3);
    let first = arrived_numbers(3, lossy).await;
    assert!((40..95).contains(&first.len()), "{}", first.len());
    assert_eq!(first, arrived_numbers(3, lossy).await);
    assert_ne!(first, arrived_numbers(4, lossy).await);
    let twice = arrived_numbers(3, faults(|f| f.duplicate = 1.0)).await;
    assert_eq!(twice.len(), 200);
    let mut reordered = arrived_numbers(3, faults(|f| f.reorder = 0.3)).await;
    assert!(!reordered.is_sorted(), "{reordered:?}");
    reordered.sort_unstable();
    assert_eq!(reordered, (0..100).collect::<Vec<u8>>());
}

#[tokio::test]
async fn replies_to_datagrams_reach_their_sender() {
    let target = UdpSocket::bind(ANY).await.expect("a free port");
    let to = target.local_addr().expect("an address");
    let link = UdpLink::open(ANY, to, LinkControl::default(), 1).await.expect("a link");
    let (one, two) =
        (UdpSocket::bind(ANY).await.expect("a free port"), UdpSocket::bind(ANY).await.expect("a free port"));
    let mut buffer = [0; 8];
    for (client, text) in [(&one, b"one"), (&two, b"two")] {
        client.send_to(text, link.address).await.expect("sent");
        let (_, from) = target.recv_from(&mut buffer).await.expect("the datagram arrives");
        target.send_to(text, from).await.expect("a reply is sent");
        let (length, from) = client.recv_from(&mut buffer).await.expect("a reply arrives");
        assert_eq!((&buffer[..length], from), (&text[..], link.address));
    }
    link.control.set(Faults::default(), faults(|f| f.cut = true));
    one.send_to(b"more", link.address).await.expect("sent");
    let (_, from) = target.recv_from(&mut buffer).await.expect("the datagram arrives");
    target.send_to(b"lost", from).await.expect("a reply is sent");
    assert!(tokio::time::timeout(SILENCE, one.recv_from(&mut buffer)).await.is_err());
}

/// Measures the time that a link without faults adds to an exchange, compared with a direct connection.
/// Run with `cargo test --release -p rookspoke-rig --test link -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "a measurement"]
async fn latency_added_by_a_link() {
    let (link, target) = link().await;
    let direct = target.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut server, _)) = target.accept().await {
            server.set_nodelay(true).expect("no delay");
            tokio::spawn(async move {
                let mut bytes = [0; 512];
                while let Ok(read @ 1..) = server.read(&mut bytes).await {
                    server.write_all(&bytes[..read]).await.expect("echoed");
                }
            });
        }
    });
    for (name, to) in [("direct", direct), ("link", link.address), ("direct", direct), ("link", link.address)]
    {
        let mut client = TcpStream::connect(to).await.expect("a connection");
        client.set_nodelay(true).expect("no delay");
        let mut took = Vec::new();
        for _ in 0..20_000 {
            let start = Instant::now();
            client.write_all(&[1; 300]).await.expect("sent");
            read(&mut client, 300).await;
            took.push(start.elapsed().as_micros());
        }
        took.sort_unstable();
        println!("{name}: p50 {} us, p99 {} us, most {} us", took[10_000], took[19_800], took[19_999]);
    }
}
