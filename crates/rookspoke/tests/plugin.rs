//! The dispatcher as a library: tonic's RPC client calls log workers through an in-process channel, without a daemon.

mod common;

use std::io::Write;

use bytes::{Buf, BufMut};
use common::world::{
    platform_config, send_objects, serve, state_report, Behaviour, Discovery, LateWorker, Worker,
    TEST_TIMEOUT,
};
use rookspoke_channel::Channel;
use rookspoke_config::Config;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::{Code, Request, Status};

/// A tonic codec for plain text messages.
#[derive(Default)]
struct Text;

impl Codec for Text {
    type Encode = String;
    type Decode = String;
    type Encoder = Text;
    type Decoder = Text;
    fn encoder(&mut self) -> Text {
        Text
    }
    fn decoder(&mut self) -> Text {
        Text
    }
}

impl Encoder for Text {
    type Item = String;
    type Error = Status;
    fn encode(&mut self, text: String, to: &mut EncodeBuf<'_>) -> Result<(), Status> {
        to.put_slice(text.as_bytes());
        Ok(())
    }
}

impl Decoder for Text {
    type Item = String;
    type Error = Status;
    fn decode(&mut self, from: &mut DecodeBuf<'_>) -> Result<Option<String>, Status> {
        let bytes = from.copy_to_bytes(from.remaining());
        Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
    }
}

/// Makes one unary call through a channel whose only log worker has this behaviour.
fn call(behaviour: &'static Behaviour) -> (Result<String, Code>, Worker) {
    let worker = Worker::start("w-1", move |request, to| behaviour(request, to));
    let discovery = Discovery::listing(&[&worker]);
    let config = Config::read(&platform_config(discovery.address).to_string()).expect("a configuration");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let answer = runtime.block_on(async {
        let (channel, core) = Channel::start(&config);
        tokio::spawn(core);
        channel.ready().await;
        let mut client = tonic::client::Grpc::new(channel);
        client.ready().await.expect("a channel is always ready");
        let mut request = Request::new("who?".to_owned());
        request.set_timeout(std::time::Duration::from_secs(5));
        let metadata = request.metadata_mut();
        metadata.insert("x-correlation-id", "00000000000000aa".parse().expect("an id"));
        let path = http::uri::PathAndQuery::from_static("/qso-confirm/station-1");
        let answer = client.unary(request, path, Text).await;
        answer.map(|a| a.into_inner()).map_err(|status| status.code())
    });
    (answer, worker)
}

#[test]
fn a_call_is_served_by_a_log_worker() {
    let (answer, worker) = call(&|request, to| {
        serve(request, to, "it is");
        true
    });
    assert_eq!(answer, Ok("it is".into()));
    let received = worker.requests.lock().expect("requests")[0].clone();
    assert_eq!(
        (received.start_line.as_str(), &received.body[..]),
        ("POST /qso-confirm/station-1 HTTP/1.1", &b"who?"[..])
    );
}

/// Dropping the future of a call means that the client has left: its attempt, which is still connecting, must not be
/// written when the connection is established.
#[test]
fn a_call_dropped_while_connecting_is_never_sent() {
    for cancel in [true, false] {
        let worker = LateWorker::start("w-1");
        let config = Config::read(&worker.config(cancel).to_string()).expect("a configuration");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let (mut channel, core) = Channel::start(&config);
            tokio::spawn(core);
            channel.ready().await;
            let request = http::Request::post("/log-lookup/a").header("x-correlation-id", "00000000000000ab");
            let request = request.header("x-service-class", "log-lookup").header("x-time-left-ms", "9000");
            let request = request.body(http_body_util::Full::new(bytes::Bytes::new())).expect("a request");
            let call = tower::Service::call(&mut channel, request);
            assert!(tokio::time::timeout(std::time::Duration::from_millis(200), call).await.is_err());
            assert_eq!(channel.counters().sent.get(), 1);
            worker.open();
            let counters = channel.counters();
            let ended = || counters.cancelled.get() + counters.not_sent.get() + counters.written.get() > 0;
            let start = std::time::Instant::now();
            while !ended() && start.elapsed() < TEST_TIMEOUT {
                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!((channel.counters().written.get(), worker.count()), (0, 0));
        });
    }
}

/// Clients may retry on `Unavailable`, so only a call that never ran gets that status.
#[test]
fn a_refused_call_is_unavailable_and_a_failed_one_is_not() {
    let (refused, _) = call(&|_, to| {
        let text = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        to.write_all(text.as_bytes()).is_ok()
    });
    assert_eq!(refused, Err(Code::Unavailable));
    let (failed, worker) = call(&|request, to| {
        send_objects(to, &[state_report(request, "failed")], true);
        true
    });
    assert_eq!((failed, worker.count()), (Err(Code::Unknown), 1));
}
