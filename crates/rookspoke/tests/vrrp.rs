//! Two daemons of a pair: only the master takes and hands out work, and the other takes over.

mod common;

use std::net::UdpSocket;

use common::faktory::*;
use common::world::*;

fn file(own: &UdpSocket, peer: &UdpSocket, priority: u8) -> String {
    let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
    format!(
        "{FRONT_ENABLED}vrrp {{\n listen {}\n peers {}\n router 7\n priority {priority}\n interval 200ms\n \
         addresses 192.0.2.1\n}}\n",
        address(own),
        address(peer)
    )
}

#[test]
fn the_master_works_and_the_backup_takes_over_from_it() {
    let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").expect("a port"));
    let files = [file(&sockets[0], &sockets[1], 200), file(&sockets[1], &sockets[0], 100)];
    let backup_port = sockets[1].local_addr().expect("an address");
    drop(sockets);
    let (mut strong, weak) = (start_daemon(&files[0]), start_daemon(&files[1]));
    strong.wait_log("vrrp: master");
    // The weak one may have been the master for a moment, if it started long before the other.
    let mut at_weak = Peer::producer(weak.address("faktory"));
    wait_for("a backup", || {
        at_weak.push(&job("job-00000001", "no-such")).contains("is a backup").then_some(())
    });
    let mut idle = Peer::consumer(weak.address("faktory"), "c-0");
    assert_eq!(idle.call("FETCH default"), "-ERR this server is a backup: fetch from the master");

    let mut consumer = Peer::consumer(strong.address("faktory"), "c-1");
    consumer.send("FETCH default");
    let mut producer = Peer::producer(strong.address("faktory"));
    wait_for("a consumer", || producer.info()["listed"].as_array()?.first().map(drop));
    assert_eq!(producer.push(&job("job-00000002", "qso-confirm")), "+OK");
    assert_eq!(consumer.fetch_pending()["jid"], "job-00000002");
    // Foreign and damaged packets are dropped.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    stranger.send_to(b"nonsense", backup_port).expect("sent");
    weak.wait_counters("vrrp", &["dropped=1"]);

    strong.signal("TERM");
    weak.wait_log("vrrp: master");
    // No longer the master, the strong one still hears how its own job ended.
    assert_eq!(consumer.ack("job-00000002"), "+OK");
    assert!(strong.wait_exit().success());
    assert!(strong.wait_log("faktory counters at exit").contains("served=1 "));
    assert!(at_weak.push(&job("job-00000003", "no-such")).contains("is not known"));
}
