//! What every case needs: the record, processes of the project's own program, and the platform's configuration.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Why a case could not run.
pub type Failure = String;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());
/// The processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Adds a line to the record, with the time.
pub fn note(text: impl Into<String>) {
    let (at, text) = (now(), text.into());
    RECORD.lock().unwrap().push((at, text));
}

/// Writes the record to a file, in the order of time.
pub fn write_record(path: &Path) {
    let mut lines = RECORD.lock().unwrap().clone();
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    if let Ok(mut file) = fs::File::create(path) {
        for (at, text) in lines {
            let _ = writeln!(file, "{at:9.4} {text}");
        }
    }
}

/// Kills every process that is still running.
pub fn kill_children() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The folder of the checkout.
pub fn root() -> PathBuf {
    let at = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    fs::canonicalize(&at).unwrap_or(at)
}

/// The command that starts a dispatcher, from the deploy file.
fn run_command() -> Result<String, Failure> {
    let path = root().join("deploy/balancer.toml");
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    line.map(|line| line.trim().trim_matches('"').to_owned()).ok_or("no `run` in the deploy file".into())
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Result<Self, Failure> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("review-2-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A dispatcher: one process of the project's program, started as the platform starts it.
pub struct Dispatcher {
    name: String,
    child: Child,
    /// Ends the dispatcher if this program is killed: its input is a pipe from here.
    guard: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// Removed with the dispatcher.
    _folder: Folder,
}

impl Dispatcher {
    /// Starts a dispatcher with this configuration of the platform. `own_file` is the text of `deploy/rookspoke.conf`;
    /// with it the program runs in a folder of its own that has that file, since the checkout's stays as it is.
    pub fn start(name: &str, config: &str, own_file: Option<&str>) -> Result<Self, Failure> {
        let folder = Folder::new()?;
        let at = folder.0.join("config.json");
        fs::write(&at, config).map_err(|e| e.to_string())?;
        let private = folder.0.join("tmp");
        fs::create_dir_all(&private).map_err(|e| e.to_string())?;
        let working = match own_file {
            None => root(),
            Some(text) => {
                fs::create_dir_all(folder.0.join("deploy")).map_err(|e| e.to_string())?;
                fs::write(folder.0.join("deploy/rookspoke.conf"), text).map_err(|e| e.to_string())?;
                std::os::unix::fs::symlink(root().join("target"), folder.0.join("target"))
                    .map_err(|e| e.to_string())?;
                folder.0.clone()
            }
        };
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()?).current_dir(working);
        command.env("PROXY_NAME", name).env("PROXY_LISTEN", "127.0.0.1:0").env("PROXY_CONFIG", &at);
        command.env("TMPDIR", private).env("ROOKSPOKE_LOG", "debug");
        for unset in ["PROXY_DISCOVERY", "PROXY_CONSOLE", "PROXY_ACCEPT_FD"] {
            command.env_remove(unset);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{name}: {e}"))?;
        CHILDREN.lock().unwrap().push(child.id());
        let mut guard = Command::new("/bin/sh");
        guard.args(["-c", "read line; kill -KILL \"$0\" 2>/dev/null", &child.id().to_string()]);
        let guard = guard.stdin(Stdio::piped()).stdout(Stdio::null()).stderr(Stdio::null()).spawn();
        let guard = guard.map_err(|e| format!("the guard of {name}: {e}"))?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let (lines, stderr, of) = (log.clone(), child.stderr.take().unwrap(), name.to_owned());
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                note(format!("{of} log: {line}"));
                lines.lock().unwrap().push(line);
            }
        });
        Ok(Dispatcher { name: name.into(), child, guard, log, _folder: folder })
    }

    /// The address of a front, as the program logs it.
    pub fn address(&self, front: &str) -> Result<SocketAddr, Failure> {
        let wanted = format!("{front} listens at ");
        let give_up = Instant::now() + Duration::from_secs(10);
        loop {
            let found = self.log.lock().unwrap().iter().find_map(|line| {
                let text = line.split(&wanted).nth(1)?;
                text.split_whitespace().next()?.parse().ok()
            });
            if let Some(address) = found {
                return Ok(address);
            }
            if Instant::now() > give_up {
                return Err(format!("{}: no address of {front} in its log", self.name));
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits until the dispatcher is ready for clients.
    pub fn wait_ready(&self) -> Result<SocketAddr, Failure> {
        let address = self.address("http")?;
        let give_up = Instant::now() + Duration::from_secs(15);
        loop {
            let ready = crate::http::get(address, "/health/ready");
            if ready.is_some_and(|status| status == 200) {
                note(format!("{} is ready at {address}", self.name));
                return Ok(address);
            }
            if Instant::now() > give_up {
                return Err(format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM and waits for the end; SIGKILL would come 3.7 s later at the earliest, and is not sent.
    pub fn terminate(&mut self) -> Result<(), Failure> {
        note(format!("platform: SIGTERM to {}", self.name));
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
        let give_up = Instant::now() + Duration::from_millis(3700);
        while Instant::now() < give_up {
            if !self.is_running() {
                note(format!("{} has ended", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} did not end in time", self.name))
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        let _ = self.guard.kill();
        let _ = self.guard.wait();
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

/// The platform's configuration of one dispatcher of a small deployment, with the settings of the wire page's example.
pub fn config(me: usize, dispatchers: usize, discovery: SocketAddr, known: &str) -> String {
    format!(
        r#"{{"name":"n{me}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be96{me}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},
"settings":{{"balancers":{dispatchers},"me":{me},"zone":"bp-vaci","localities":["bp-vaci","bp-budaors"],
"machine_types":["std4"],"classes":[
{{"name":"log-lookup","effect":"read_like","gain":2.0,"goal_time_ms":500.0,"deadline_ms":10000.0,"late_worth":0.0,
"group":"all","dedup_window_ms":5000.0,"streamed":false}},
{{"name":"qso-confirm","effect":"non_idempotent","gain":3.0,"goal_time_ms":1500.0,"deadline_ms":20000.0,"late_worth":0.0,
"group":"all","dedup_window_ms":5000.0,"streamed":false}}],
"client_habits":{{"marks_retry":false}},"discovery":"subscribe","kind_of_service":"jobs","projects":[],"quantum_ms":4.0,
"limits":{{"cancel":true,"conn_idle_ms":15000.0,"connect_timeout_ms":250.0,"cpu_us_per_request":0.0,"cpu_us_per_s":15000,
"max_open":20000,"max_retry_after_ms":2000.0,"peers":false,"probes":true,"retry_after":true,"second_copies":true,
"send_cap":6,"streams_per_conn":1}},
"prices":{{"cross_zone":0.03,"handshake":0.02,"late_fail":0.045,"probe":0.0015,"waste":0.023}},
"reporting":{{"fields":["x0","failed_ps","served_ps","cpu_share"],"how":"probe"}},
"rules":{{"answer_slack_ms":16.0,"ask_every_ms":10000.0,"cold_from":0.13,"fall_multiple":3.0,"overload_for_ms":3000.0,
"ramp_time_ms":23000.0,"stop_sending_within_ms":500.0}},
"specifics":{{"class_kind":[-1,-1],"class_priority":[0,1],"class_stretch":[2.5,2.0],"notes":"1 it has started, 2 share done",
"progress_ms":2000.0,"queue_order":"fifo","report_x0":"free_slots","tells_start":true}},
"over_share_worth":0.1,"weight_kind":"none","worth_by":"request","tier":0,"tiers":["naplo-workers"]}}}}"#
    )
}
