//! A VRRP pair of daemons: only the master accepts and hands out jobs, and the backup takes over from it.

mod common;

use std::net::UdpSocket;

use common::faktory::*;
use common::world::*;

/// A configuration file with the Faktory front and VRRP enabled.
fn config_file(own: &UdpSocket, peer: &UdpSocket, priority: u8) -> String {
    let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
    format!(
        "{FRONT_ENABLED}vrrp {{\n listen {}\n peers {}\n router 7\n priority {priority}\n interval 200ms\n \
         addresses 192.0.2.1\n}}\n",
        address(own),
        address(peer)
    )
}

#[test]
fn only_the_master_accepts_jobs_and_the_backup_takes_over_when_it_ends() {
    let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").expect("a port"));
    let config_files =
        [config_file(&sockets[0], &sockets[1], 200), config_file(&sockets[1], &sockets[0], 100)];
    let backup_port = sockets[1].local_addr().expect("an address");
    drop(sockets);
    let (mut high_priority, low_priority) = (start_daemon(&config_files[0]), start_daemon(&config_files[1]));
    high_priority.wait_log("vrrp: master");
    // The daemon of lower priority may have been the master for a moment, if it started much earlier.
    let mut low_priority_producer = Peer::producer(low_priority.address("faktory"));
    wait_for("a backup", || {
        low_priority_producer.push(&job("job-00000001", "no-such")).contains("is a backup").then_some(())
    });
    let mut idle = Peer::consumer(low_priority.address("faktory"), "c-0");
    assert_eq!(idle.call("FETCH default"), "-ERR this server is a backup: fetch from the master");

    let mut consumer = Peer::consumer(high_priority.address("faktory"), "c-1");
    consumer.send("FETCH default");
    let mut producer = Peer::producer(high_priority.address("faktory"));
    wait_for("a consumer", || producer.info()["listed"].as_array()?.first().map(drop));
    deliver(&mut producer, &mut consumer, &job("job-00000002", "qso-confirm"));
    // Unreadable packets, and those from addresses that are no peers, are dropped.
    let foreign = UdpSocket::bind("127.0.0.1:0").expect("a port");
    foreign.send_to(b"nonsense", backup_port).expect("sent");
    low_priority.wait_counters("vrrp", &["dropped=1"]);

    high_priority.signal("TERM");
    low_priority.wait_log("vrrp: master");
    // The former master still accepts the report of a job that it handed out.
    assert_eq!(consumer.ack("job-00000002"), "+OK");
    assert!(high_priority.wait_exit().success());
    assert!(high_priority.wait_log("faktory counters at exit").contains("served=1 "));
    assert!(low_priority_producer.push(&job("job-00000003", "no-such")).contains("is not known"));
}
