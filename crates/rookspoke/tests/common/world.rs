//! The daemon as a process, and stand-ins for those it talks to: clients, log workers, discovery.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Nothing here takes nearly as long; a test that waits for this has failed.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub fn settings() -> Value {
    let class = |name: &str, effect: &str, worth: f64, aim: f64, deadline: f64| {
        json!({"name": name, "effect": effect, "gain": worth, "goal_time_ms": aim, "deadline_ms": deadline,
               "late_worth": 0.0, "group": "all", "dedup_window_ms": 5000.0, "streamed": false})
    };
    json!({
        "balancers": 1, "me": 0, "zone": "bp-vaci", "localities": ["bp-vaci"], "machine_types": ["std4"],
        "classes": [class("log-lookup", "read_like", 2.0, 5000.0, 10000.0),
                    class("qso-confirm", "non_idempotent", 3.0, 5000.0, 20000.0)],
        "discovery": "subscribe", "projects": [], "quantum_ms": 4.0,
        "limits": {"cancel": true, "probes": false, "second_copies": true, "retry_after": true, "send_cap": 6,
                   "max_retry_after_ms": 2000.0, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0},
        "reporting": {"how": "none", "fields": []},
        "rules": {"answer_slack_ms": 16.0, "ask_every_ms": 1000.0, "stop_sending_within_ms": 500.0,
                  "cold_from": 0.13, "ramp_time_ms": 23000.0, "fall_multiple": 3.0, "overload_for_ms": 3000.0},
        "specifics": {"tells_start": true, "class_stretch": [2.5, 2.0]},
    })
}

/// A folder of its own for each daemon, removed at the end.
pub struct Folder(PathBuf);

/// Where injected faults are logged, in the daemon's folder.
const FAULTS_LOG: &str = "faults.log";

/// The library that makes system calls fail; cargo builds it before the tests that depend on it.
pub fn faults_library() -> PathBuf {
    let library = Path::new(env!("CARGO_BIN_EXE_rookspoke")).with_file_name("deps/librookspoke_faults.so");
    assert!(library.exists(), "{} is not there", library.display());
    library
}

/// A site file's name in its folder.
const SITE: &str = "site.conf";

impl Folder {
    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("rookspoke-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(path.join("deploy")).expect("a folder for the test");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running daemon; killed when dropped.
pub struct Daemon {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    folder: Arc<Folder>,
}

/// What the platform holds for a dispatcher over one version after another: the clients' socket and `$TMPDIR`.
pub struct Place {
    listener: TcpListener,
    folder: Arc<Folder>,
    config: Value,
}

impl Place {
    pub fn new(mut config: Value) -> Self {
        config["console"] = "127.0.0.1:0".into();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        Place { listener, folder: Arc::new(Folder::new()), config }
    }

    pub fn clients(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// One more process, on descriptor 7.
    pub fn start(&self) -> Daemon {
        let path = self.folder.0.join("config.json");
        std::fs::write(&path, self.config.to_string()).expect("the configuration is written");
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 7<&0 0</dev/null", env!("CARGO_BIN_EXE_rookspoke")]);
        command.current_dir(&self.folder.0).env("PROXY_CONFIG", path).env("ROOKSPOKE_LOG", "debug");
        command.env("PROXY_ACCEPT_FD", "7").env("TMPDIR", &self.folder.0).stdout(Stdio::null());
        let socket = self.listener.try_clone().expect("a duplicate");
        command.stdin(Stdio::from(std::os::fd::OwnedFd::from(socket)));
        Daemon::spawn((command, self.folder.clone()))
    }

    /// One more process, once it says that it is ready.
    pub fn ready(&self) -> Daemon {
        let daemon = self.start();
        wait_for("ready", || (daemon.operator("GET", "ready").status == 200).then_some(()));
        daemon
    }
}

impl Daemon {
    /// How to start one, and the folder that must live as long as it.
    pub fn command(config: &Value, faktory: Option<&str>) -> (Command, Arc<Folder>) {
        let folder = Arc::new(Folder::new());
        let path = folder.0.join("config.json");
        std::fs::write(&path, config.to_string()).expect("the configuration is written");
        if let Some(text) = faktory {
            std::fs::write(folder.0.join("deploy/rookspoke.conf"), text).expect("the file is written");
        }
        (command(&path, &folder.0), folder)
    }

    pub fn start(config: &Value, faktory: Option<&str>) -> Self {
        Self::spawn(Self::command(config, faktory))
    }

    /// With these variables in its environment.
    pub fn start_with(config: &Value, variables: &[(&str, String)]) -> Self {
        let (mut command, folder) = Self::command(config, None);
        command.envs(variables.iter().cloned());
        Self::spawn((command, folder))
    }

    /// With system calls that fail by a schedule of `rookspoke-faults`.
    pub fn start_with_faults(config: &Value, schedule: &str) -> Self {
        let (mut command, folder) = Self::command(config, None);
        let log = folder.0.join(FAULTS_LOG);
        command.envs([("ROOKSPOKE_FAULTS", schedule.into()), ("ROOKSPOKE_FAULTS_LOG", log.into_os_string())]);
        command.env("LD_PRELOAD", faults_library());
        Self::spawn((command, folder))
    }

    /// How often this fault was injected; a play in which it never was proves nothing.
    pub fn faults(&self, fault: &str) -> usize {
        let log = std::fs::read_to_string(self.folder.0.join(FAULTS_LOG)).unwrap_or_default();
        log.lines().filter(|line| *line == fault).count()
    }

    /// Without the platform, by a file of its own.
    pub fn of_site(file: &str) -> Self {
        Self::of_site_in(Folder::new(), file)
    }

    pub fn of_site_in(folder: Folder, file: &str) -> Self {
        std::fs::write(folder.0.join(SITE), file).expect("the file is written");
        let mut command = program(&folder.0);
        command.args(["serve", "--config", SITE]);
        Self::spawn((command, Arc::new(folder)))
    }

    pub fn replace_site(&self, file: &str) {
        std::fs::write(self.folder.0.join(SITE), file).expect("the file is written");
    }

    pub fn folder(&self) -> &Path {
        &self.folder.0
    }

    pub fn spawn((mut command, folder): (Command, Arc<Folder>)) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the daemon starts");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, stderr) = (log.clone(), child.stderr.take().expect("standard error"));
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                lines.lock().expect("the log").push(line);
            }
        });
        Daemon { child, log, folder }
    }

    /// A daemon in front of these log workers, once it is ready for clients.
    pub fn over(discovery: &Discovery) -> Self {
        let daemon = Daemon::start(&config(discovery.address), None);
        daemon.wait_ready();
        daemon
    }

    /// Puts another text in the place of its configuration.
    pub fn replace(&self, text: &str) {
        std::fs::write(self.folder.0.join("config.json"), text).expect("the configuration is written");
    }

    /// Waits for a line that holds `text`, and returns it.
    pub fn wait_log(&self, text: &str) -> String {
        let found = || self.log.lock().expect("the log").iter().find(|l| l.contains(text)).cloned();
        wait_for(&format!("a line with {text:?}"), found)
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().expect("the log").clone()
    }

    /// Where the daemon listens, by its own account.
    pub fn address(&self, front: &str) -> SocketAddr {
        let line = self.wait_log(&format!("{front} listens at "));
        // In JSON, more may follow.
        let address = line.split("listens at ").nth(1).expect("an address");
        let end = address.find(|c: char| !c.is_ascii_digit() && !".:".contains(c)).unwrap_or(address.len());
        address[..end].parse().expect("an address")
    }

    /// An operator's call, on a connection of its own.
    pub fn operator(&self, method: &str, path: &str) -> Message {
        let text = format!("{method} /control/{path} HTTP/1.1\r\nHost: x\r\n\r\n");
        ask(self.address("console"), text.as_bytes())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count)
    }

    /// One of the figures that operators get.
    pub fn figure(&self, name: &str) -> u64 {
        let text = self.operator("GET", "counters").text();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("proxy.{name}:")));
        let value = line.and_then(|line| line.split_once('|')).map(|(value, _)| value.parse());
        value.unwrap_or_else(|| panic!("no {name} in {text}")).expect("a number")
    }

    pub fn wait_ready(&self) {
        let address = self.address("http");
        wait_for("ready", || (get(address, "/health/ready").status == 200).then_some(()));
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(done.expect("kill runs").success());
    }

    /// Kills it at once.
    pub fn kill(&self) {
        self.signal("KILL");
    }

    pub fn wait_exit(&mut self) -> ExitStatus {
        wait_for("the daemon's end", || self.child.try_wait().expect("a child"))
    }

    /// The totals that the daemon prints on request; every request brings a new line.
    pub fn counters(&self, front: &str) -> String {
        let (before, text) = (self.log().len(), format!("{front} counters: "));
        self.signal("USR1");
        wait_for(&text, || self.log()[before..].iter().find(|l| l.contains(&text)).cloned())
    }

    /// Waits until a front's totals hold all of these.
    pub fn wait_counters(&self, front: &str, wanted: &[&str]) {
        let holds = |line: &String| wanted.iter().all(|w| line.split(' ').any(|part| part == *w));
        wait_for(&format!("{wanted:?}"), || Some(self.counters(front)).filter(holds).map(drop));
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let mut log = self.log();
            log.dedup();
            eprintln!("the daemon's log:\n{}", log.join("\n"));
        }
    }
}

fn command(config: &Path, folder: &Path) -> Command {
    let mut command = program(folder);
    command.env("PROXY_CONFIG", config).env("ROOKSPOKE_LOG", "debug").stdout(Stdio::null());
    command
}

/// The program in a folder, without the platform's variables.
pub fn program(folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rookspoke"));
    command.current_dir(folder).stdin(Stdio::null());
    for name in
        ["PROXY_CONFIG", "PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONSOLE", "ROOKSPOKE_LOG"]
    {
        command.env_remove(name);
    }
    command
}

pub fn config(discovery: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": null, "settings": settings(),
    })
}

pub fn wait_for<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP message: its first line, its headers, its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; none if the connection ends first.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        let read = from.read_line(&mut text).ok()?;
        (read > 0).then(|| text.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = Vec::new();
    while let Some((name, value)) = line()?.split_once(':') {
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let mut message = Message { first, headers, body: Vec::new(), status };
    let length = message.header("content-length").map_or(0, |l| l.parse().expect("a length"));
    message.body.resize(length, 0);
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn send(to: SocketAddr, text: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    stream.write_all(text).expect("sent");
    stream
}

pub fn get(to: SocketAddr, path: &str) -> Message {
    let stream = send(to, format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes());
    read_message(&mut BufReader::new(stream)).expect("an answer")
}

/// A job as the platform's clients word it.
pub fn post(class: &str, id: &str, left_ms: u32, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST /{class}/station-1?x=1 HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\n\
         X-Service-Class: {class}\r\nX-Time-Left-Ms: {left_ms}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

pub fn ask(to: SocketAddr, request: &[u8]) -> Message {
    read_message(&mut BufReader::new(send(to, request))).expect("an answer")
}

/// What a log worker does with a request, over the connection that it came on; true keeps that open.
pub type Behaviour = dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync;

/// A stand-in log worker.
pub struct Worker {
    pub address: SocketAddr,
    pub uid: String,
    pub seen: Arc<Mutex<Vec<Message>>>,
    pub connections: Arc<AtomicU32>,
}

impl Worker {
    pub fn start(
        uid: &str,
        behaviour: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let (seen, behaviour): (Arc<Mutex<Vec<Message>>>, Arc<Behaviour>) =
            (Arc::default(), Arc::new(behaviour));
        let connections = Arc::new(AtomicU32::new(0));
        let (all, count) = (seen.clone(), connections.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().map_while(Result::ok) {
                count.fetch_add(1, Ordering::SeqCst);
                let (seen, behaviour) = (all.clone(), behaviour.clone());
                thread::spawn(move || {
                    let mut from = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some(message) = read_message(&mut from) {
                        seen.lock().expect("requests").push(message.clone());
                        if !behaviour(&message, &mut stream) {
                            return;
                        }
                    }
                });
            }
        });
        Worker { address, uid: uid.into(), seen, connections }
    }

    pub fn serving(uid: &str) -> Self {
        Worker::giving(uid, "fine")
    }

    /// Serves every job with this result.
    pub fn giving(uid: &str, result: impl Into<String>) -> Self {
        let result = result.into();
        Worker::start(uid, move |request, to| {
            serve(request, to, &result);
            true
        })
    }

    pub fn count(&self) -> usize {
        self.seen.lock().expect("requests").len()
    }

    /// The ids of the requests that came.
    pub fn ids(&self) -> Vec<String> {
        let seen = self.seen.lock().expect("requests");
        seen.iter().filter_map(|request| request.header("x-correlation-id").map(str::to_owned)).collect()
    }

    pub fn entry(&self, state: &str) -> Value {
        entry(&self.uid, self.address, state)
    }
}

pub fn entry(uid: &str, endpoint: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint, "az": "bp-vaci", "model": "std4", "pod_group": 1,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// A log worker whose connections come up late: its listener is full until it opens, and the system then takes those who
/// try again. Requests are counted and never answered.
pub struct Late {
    uid: String,
    listener: Mutex<Option<socket2::Socket>>,
    address: SocketAddr,
    /// Keep its listener full.
    full: Mutex<Vec<TcpStream>>,
    seen: Arc<AtomicU32>,
}

impl Late {
    pub fn start(uid: &str) -> Self {
        let listener =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        let any: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
        listener.bind(&any.into()).expect("a port");
        listener.listen(0).expect("a listener");
        let address = listener.local_addr().expect("an address").as_socket().expect("an address");
        let short = Duration::from_millis(100);
        let full = std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok()).take(64).collect();
        Late {
            uid: uid.into(),
            listener: Some(listener).into(),
            address,
            full: Mutex::new(full),
            seen: Arc::default(),
        }
    }

    pub fn entry(&self, state: &str) -> Value {
        entry(&self.uid, self.address, state)
    }

    /// A configuration that lists it alone, and waits for its connections for longer than any test takes to let it open.
    pub fn config(&self, cancel: bool) -> Value {
        let mut config = config(Discovery::start(vec![self.entry("active")]).address);
        config["settings"]["limits"]["connect_timeout_ms"] = 9_000.0.into();
        config["settings"]["limits"]["cancel"] = cancel.into();
        config
    }

    /// Accepts from now on.
    pub fn opens(&self) {
        let listener = self.listener.lock().expect("a listener").take().expect("opened once");
        let (listener, seen) = (TcpListener::from(listener), self.seen.clone());
        self.full.lock().expect("connections").clear();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let seen = seen.clone();
                thread::spawn(move || {
                    let mut from = BufReader::new(stream);
                    while read_message(&mut from).is_some() {
                        seen.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
        });
    }

    /// Requests that came.
    pub fn count(&self) -> usize {
        self.seen.load(Ordering::SeqCst) as usize
    }
}

/// An answer in chunks, one object to each.
pub fn objects(to: &mut TcpStream, objects: &[Value], end: bool) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = to.write_all(format!("{head}{}", chunks(objects, end)).as_bytes());
}

/// More of an answer that [`objects`] has begun.
pub fn more_objects(to: &mut TcpStream, objects: &[Value], end: bool) {
    let _ = to.write_all(chunks(objects, end).as_bytes());
}

fn chunks(objects: &[Value], end: bool) -> String {
    let lines = objects.iter().map(|object| format!("{object}\n"));
    let chunks: String = lines.map(|line| format!("{:x}\r\n{line}\r\n", line.len())).collect();
    chunks + if end { "0\r\n\r\n" } else { "" }
}

pub fn state(request: &Message, state: &str) -> Value {
    json!({"id": request.header("x-correlation-id"), "from": "w", "state": state})
}

pub fn serve(request: &Message, to: &mut TcpStream, result: &str) {
    let mut done = state(request, "done");
    done["result"] = result.into();
    objects(to, &[state(request, "started"), done], true);
}

/// A stand-in discovery: answers watches with the whole list, then with what is told.
pub struct Discovery {
    pub address: SocketAddr,
    news: Arc<Mutex<Vec<mpsc::Sender<String>>>>,
    /// The whole list, as a watch is first told it.
    first: Arc<Mutex<String>>,
    /// What a watch is first told that goes on from a version, if that is not the whole list.
    changes: Arc<Mutex<Option<String>>>,
    pub watches: Arc<AtomicU32>,
    /// Watches that have not ended, as far as has been noticed.
    pub open: Arc<AtomicU32>,
}

impl Discovery {
    pub fn start(list: Vec<Value>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("an address");
        let news: Arc<Mutex<Vec<mpsc::Sender<String>>>> = Arc::default();
        let (first, watches) = (Arc::new(Mutex::new(whole_list(&list))), Arc::new(AtomicU32::new(0)));
        let open = Arc::new(AtomicU32::new(0));
        let changes: Arc<Mutex<Option<String>>> = Arc::default();
        let discovery = Discovery {
            address,
            news: news.clone(),
            first: first.clone(),
            changes: changes.clone(),
            watches: watches.clone(),
            open: open.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (sender, told) = mpsc::channel();
                // Listed before it is counted: what is told after the count is not missed.
                let first = {
                    let first = first.lock().expect("the list");
                    news.lock().expect("watches").push(sender);
                    first.clone()
                };
                watches.fetch_add(1, Ordering::SeqCst);
                open.fetch_add(1, Ordering::SeqCst);
                let (open, changes) = (open.clone(), changes.clone());
                thread::spawn(move || {
                    watch(stream, &first, &changes, &told);
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        discovery
    }

    pub fn of(workers: &[&Worker]) -> Self {
        Discovery::start(workers.iter().map(|w| w.entry("active")).collect())
    }

    /// A line to every watch, as it stands.
    pub fn say(&self, line: &str) {
        self.news.lock().expect("watches").iter().for_each(|to| drop(to.send(line.to_owned())));
    }

    pub fn change(&self, entry: Value) {
        self.say(&json!({"rev": 2, "all": false, "targets": [entry]}).to_string());
    }

    /// Ends every watch.
    pub fn break_watches(&self) {
        self.news.lock().expect("watches").clear();
    }

    pub fn set(&self, list: Vec<Value>) {
        self.set_text(&whole_list(&list));
    }

    /// What those are first told that go on from a version, in the place of the whole list.
    pub fn set_changes(&self, line: Option<&str>) {
        *self.changes.lock().expect("changes") = line.map(str::to_owned);
    }

    /// The whole list in this form, without the end of its last line.
    pub fn set_text(&self, list: &str) {
        *self.first.lock().expect("the list") = list.to_owned();
    }
}

fn whole_list(entries: &[Value]) -> String {
    json!({"rev": 1, "all": true, "targets": entries}).to_string()
}

fn watch(mut stream: TcpStream, whole: &str, changes: &Mutex<Option<String>>, told: &mpsc::Receiver<String>) {
    let mut from = BufReader::new(stream.try_clone().expect("a clone"));
    let Some(call) = read_message(&mut from) else { return };
    let goes_on = !call.first.contains("after=0 ");
    let changes = changes.lock().expect("changes").clone().filter(|_| goes_on);
    let first = chunk(changes.as_deref().unwrap_or(whole));
    let mut line = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{first}");
    loop {
        if stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        line = match told.recv_timeout(Duration::from_millis(500)) {
            Ok(text) => chunk(&text),
            Err(mpsc::RecvTimeoutError::Timeout) => chunk(""),
            Err(mpsc::RecvTimeoutError::Disconnected) => return,
        };
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Whether the other side has closed the connection.
pub fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 64]) {
        Ok(read) => read == 0,
        Err(e) => e.kind() == ErrorKind::ConnectionReset,
    }
}
