//! What the cases of the review share: processes, a record, discovery, and small clients. Standard library alone.

use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings of a case, from its environment.
pub struct Case {
    /// Whether the disruption is played.
    pub trouble: bool,
    pub seed: u64,
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder of this run.
    pub work: PathBuf,
    pub record: Record,
}

impl Case {
    pub fn from_env() -> Self {
        let var = |name: &str| std::env::var(name).ok().filter(|text| !text.is_empty());
        let path =
            |name: &str| PathBuf::from(var(name).unwrap_or_else(|| quit(&format!("{name} is not set"))));
        let (root, work, record) = (path("REVIEW_ROOT"), path("REVIEW_WORK"), path("REVIEW_RECORD"));
        Case {
            trouble: var("TROUBLE").as_deref() != Some("0"),
            seed: var("SEED").and_then(|text| text.parse().ok()).unwrap_or(1),
            root,
            work,
            record: Record::create(record),
        }
    }
}

/// The case could not run.
pub fn quit(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

/// What was sent, answered and run, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    fn create(path: PathBuf) -> Self {
        let file = File::create(&path).unwrap_or_else(|e| quit(&format!("{}: {e}", path.display())));
        Record(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn ms(&self) -> f64 {
        self.0 .0.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", self.ms());
    }

    /// Writes a line that is shown, too.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A small random number generator (xorshift64*), so that a seed names a run.
#[derive(Clone)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        (0..8).for_each(|_| _ = rng.next());
        rng
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    /// From 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
    pub fn range(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.unit()
    }
    /// An exponentially distributed pause.
    pub fn pause(&mut self, mean_s: f64) -> Duration {
        Duration::from_secs_f64(-mean_s * (1.0 - self.unit()).ln())
    }
}

/// A loopback address of this run's own, so that its ports are not taken by what else runs on the machine.
pub fn own_ip() -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 64 + (pid / 62_500 % 128) as u8, (pid / 250 % 250) as u8, 1 + (pid % 250) as u8)
}

/// A listener of a stand-in, on a free port.
pub fn listener() -> TcpListener {
    TcpListener::bind((own_ip(), 0)).unwrap_or_else(|e| quit(&format!("no free port: {e}")))
}

/// A free address for a process that is started later. No two calls return the same one.
pub fn free_tcp() -> SocketAddr {
    static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());
    loop {
        let address = listener().local_addr().unwrap();
        let mut given = GIVEN.lock().unwrap();
        if !given.contains(&address) {
            given.push(address);
            return address;
        }
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The command `run` of the deploy file.
fn run_command(case: &Case) -> String {
    let path = case.root.join("deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| quit(&format!("{}: {e}", path.display())));
    let run =
        text.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next().map(str::to_owned));
    run.unwrap_or_else(|| quit("the deploy file has no `run`"))
}

/// A dispatcher, in a folder of its own that stands for the root: `target` leads to the build, and `deploy` has its
/// `rookspoke.conf`, where the case has one.
pub struct Dispatcher {
    pub name: String,
    pub listen: SocketAddr,
    folder: PathBuf,
    command: String,
    pids: PathBuf,
    child: Option<Child>,
}

impl Dispatcher {
    pub fn new(case: &Case, name: &str, config: &str, conf_file: &str, listen: SocketAddr) -> Self {
        let folder = case.work.join(name);
        std::fs::create_dir_all(folder.join("deploy")).unwrap();
        std::fs::create_dir_all(folder.join("tmp")).unwrap();
        std::os::unix::fs::symlink(case.root.join("target"), folder.join("target")).unwrap();
        std::fs::write(folder.join("config.json"), config).unwrap();
        if !conf_file.is_empty() {
            std::fs::write(folder.join("deploy/rookspoke.conf"), conf_file).unwrap();
        }
        let (command, pids) = (run_command(case), case.work.join("pids"));
        Dispatcher { name: name.into(), listen, folder, command, pids, child: None }
    }

    pub fn start(&mut self) {
        let log = File::options().append(true).create(true).open(self.folder.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.command).current_dir(&self.folder).stdin(Stdio::null());
        for name in ["PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONSOLE", "PROXY_ACCEPT_FD"] {
            command.env_remove(name);
        }
        command.env("PROXY_CONFIG", self.folder.join("config.json")).env("TMPDIR", self.folder.join("tmp"));
        command.stdout(Stdio::null()).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| quit(&format!("{}: {e}", self.name)));
        // run-case.sh ends these processes, should this one end before them.
        let mut pids = File::options().append(true).create(true).open(&self.pids).unwrap();
        let _ = writeln!(pids, "{}", child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.pid().to_string()]).status();
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn wait_end(&mut self, limit: Duration) -> Option<String> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(ended) = self.ended() {
                return Some(ended);
            }
            std::thread::sleep(ms(10));
        }
        None
    }

    /// Waits until `GET /health/ready` answers 200.
    pub fn wait_ready(&mut self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(30) {
            if let Some(ended) = self.ended() {
                quit(&format!("{} ended at its start: {ended}", self.name));
            }
            let answer =
                http(self.listen, "GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            if answer.is_some_and(|answer| answer.status == 200) {
                return;
            }
            std::thread::sleep(ms(20));
        }
        quit(&format!("{} is not ready after 30 s", self.name));
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The head of an HTTP message and its body.
#[derive(Clone, Debug)]
pub struct Message {
    /// Of a response.
    pub status: u16,
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Reads one message with a length or in chunks; `None` at the end of the connection, or if it breaks.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    let mut read_line = |from: &mut BufReader<TcpStream>| {
        line.clear();
        (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
    };
    let first_line = read_line(from)?;
    let mut headers = Vec::new();
    loop {
        let header = read_line(from)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let status = first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut message = Message { status, first_line, headers, body: Vec::new() };
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(from)?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Sends a request on a new connection and reads its answer.
pub fn http(to: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, ms(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// A log worker as the list shows it.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub rack: usize,
}

/// Starts a discovery service that serves this list, which never changes, and returns its address.
pub fn start_discovery(targets: &[Target]) -> SocketAddr {
    let entries: Vec<String> = targets
        .iter()
        .map(|t| {
            format!(
                r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":{},"state":"active","capacity_hint":1.0,"boot_ms":0}}"#,
                t.uid, t.endpoint, t.zone, t.kind, t.rack
            )
        })
        .collect();
    let list = format!(r#"{{"rev":1,"all":true,"targets":[{}]}}"#, entries.join(","));
    let listener = listener();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            std::thread::spawn(move || serve_discovery(stream, &list));
        }
    });
    address
}

fn serve_discovery(stream: TcpStream, list: &str) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    let request = read_message(&mut reader)?;
    if !request.first_line.contains("watch=1") {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", list.len());
        writer.write_all(format!("{head}{list}").as_bytes()).ok()?;
        return Some(());
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let first =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}", chunk(&format!("{list}\n")));
    writer.write_all(first.as_bytes()).ok()?;
    loop {
        std::thread::sleep(Duration::from_secs(2));
        writer.write_all(chunk("\n").as_bytes()).ok()?;
    }
}

/// A connection of a Faktory producer or consumer, which follows the public specification of the protocol.
pub struct Faktory {
    from: BufReader<TcpStream>,
}

impl Faktory {
    /// Connects and says HELLO; with a worker id for a consumer.
    pub fn connect(to: SocketAddr, wid: Option<&str>) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&to, ms(500)).ok()?;
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(Duration::from_secs(30))).ok()?;
        let mut connection = Faktory { from: BufReader::new(stream) };
        if !connection.reply()?.starts_with("+HI") {
            return None;
        }
        let hello = match wid {
            Some(wid) => format!(r#"HELLO {{"v":2,"wid":"{wid}","hostname":"h","pid":1,"labels":[]}}"#),
            None => r#"HELLO {"v":2}"#.into(),
        };
        (connection.call(&hello)? == "+OK").then_some(connection)
    }

    pub fn send(&mut self, command: &str) -> Option<()> {
        self.from.get_mut().write_all(format!("{command}\r\n").as_bytes()).ok()
    }

    /// The next reply: a line, the text of a bulk string, or `nil`. `None` at the end of the connection.
    pub fn reply(&mut self) -> Option<String> {
        let mut line = String::new();
        if self.from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        let Some(length) = line.strip_prefix('$') else { return Some(line.into()) };
        let Ok(length) = length.parse::<usize>() else { return Some("nil".into()) };
        let mut bytes = vec![0; length + 2];
        self.from.read_exact(&mut bytes).ok()?;
        bytes.truncate(length);
        String::from_utf8(bytes).ok()
    }

    pub fn call(&mut self, command: &str) -> Option<String> {
        self.send(command)?;
        self.reply()
    }

    /// The `jid` of a job that a FETCH brought.
    pub fn jid(job: &str) -> Option<String> {
        let rest = job.split("\"jid\":\"").nth(1)?;
        rest.split('"').next().map(str::to_owned)
    }
}

/// The platform's JSON for a dispatcher of `kozos-naplo-bp`.
pub fn site_config(name: &str, listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":null,"settings":{{
"balancers":2,"me":0,"zone":"bp-vaci","localities":["bp-vaci","bp-budaors"],"machine_types":["std4"],
"classes":[
 {{"name":"log-lookup","effect":"read_like","gain":2.0,"goal_time_ms":500.0,"deadline_ms":10000.0,"late_worth":0.0,"group":"all","dedup_window_ms":5000.0,"streamed":false}},
 {{"name":"qso-confirm","effect":"non_idempotent","gain":3.0,"goal_time_ms":1500.0,"deadline_ms":20000.0,"late_worth":0.0,"group":"all","dedup_window_ms":5000.0,"streamed":false}}],
"discovery":"subscribe","projects":[],"quantum_ms":4.0,
"limits":{{"cancel":true,"probes":true,"second_copies":true,"retry_after":true,"send_cap":6,"max_retry_after_ms":2000.0,"conn_idle_ms":15000.0,"connect_timeout_ms":250.0}},
"reporting":{{"how":"probe","fields":["x0","failed_ps","served_ps","cpu_share"]}},
"rules":{{"answer_slack_ms":16.0,"ask_every_ms":10000.0,"stop_sending_within_ms":500.0,"cold_from":0.13,"ramp_time_ms":23000.0,"fall_multiple":3.0,"overload_for_ms":3000.0}},
"specifics":{{"tells_start":true,"progress_ms":2000.0,"class_stretch":[2.5,2.0],"report_x0":"free_slots"}}}}}}"#
    )
}
