//! Fault injection for tests: preloaded into a process (`LD_PRELOAD`), this library makes some of its system calls fail
//! as Linux documents that they may. What fails, and how often, is said in the environment; the draws come from a seed.
//!
//! `ROOKSPOKE_FAULTS="SEED CALL=ERROR:PERCENT ..."`, for example `7 receive=EINTR:20 accept=ECONNABORTED:50`;
//! `clock=SECONDS:PERIOD_MS` steps the wall clock to and fro with this period, or for ever, if it is 0. Each fault
//! that was injected is a line, `CALL ERROR`, in the file that `ROOKSPOKE_FAULTS_LOG` names: a run in which none was
//! proves nothing. A schedule that makes no sense ends the process with status 3 and a line on standard error.
//!
//! This is the one crate of the workspace that needs `unsafe`: it stands in for functions of the C library.

mod schedule;

use std::ffi::{c_char, c_int, c_void};
use std::mem::transmute;
use std::os::fd::IntoRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use libc::{iovec, size_t, sockaddr, socklen_t, ssize_t};
use schedule::{Call, Fault, Schedule};

/// Where the schedule stands.
const SCHEDULE: &str = "ROOKSPOKE_FAULTS";
/// Where injected faults are logged.
const LOG: &str = "ROOKSPOKE_FAULTS_LOG";
/// The status of a process whose schedule makes no sense.
const BAD_SCHEDULE: i32 = 3;

struct Injector {
    schedule: Schedule,
    draws: AtomicU64,
    log: Option<c_int>,
}

static INJECTOR: OnceLock<Injector> = OnceLock::new();

fn injector() -> &'static Injector {
    INJECTOR.get_or_init(|| {
        let text = std::env::var(SCHEDULE).unwrap_or_default();
        let schedule = Schedule::parse(&text).unwrap_or_else(|error| {
            eprintln!("{SCHEDULE}: {error}");
            std::process::exit(BAD_SCHEDULE)
        });
        let open = |path| std::fs::OpenOptions::new().append(true).create(true).open(path).ok();
        let log = std::env::var(LOG).ok().and_then(open).map(IntoRawFd::into_raw_fd);
        Injector { schedule, draws: AtomicU64::new(0), log }
    })
}

/// Whether this call fails, and how.
fn fault(call: Call) -> Option<Fault> {
    let injector = injector();
    let draw = injector.draws.fetch_add(1, Ordering::Relaxed);
    let (fault, line) = injector.schedule.draw(call, draw)?;
    if let Some(log) = injector.log {
        // SAFETY: the buffer is as long as it says. A line that cannot be written is not counted.
        unsafe { libc::syscall(libc::SYS_write, log, line.as_ptr(), line.len()) };
    }
    Some(fault)
}

fn fail(errno: c_int) -> c_int {
    // SAFETY: the location of this thread's errno is always valid.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// The C library's own function of this name.
macro_rules! real {
    ($name:literal, $type:ty) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name ends with a zero byte; the function found has the type that the C library documents.
        let address = *REAL.get_or_init(|| unsafe {
            libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<c_char>()) as usize
        });
        unsafe { transmute::<usize, $type>(address) }
    }};
}

/// The same for calls on a connection: a process's own pipes and local sockets are left alone. The runtime takes an
/// interrupted read of the pipe through which it hears of signals for the end of the world, and panics.
fn fault_on_connection(call: Call, fd: c_int) -> Option<Fault> {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: the value and its length belong together, and both live for the call.
    let asked = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, (&raw mut domain).cast(), &raw mut length)
    };
    (asked == 0 && domain == libc::AF_INET).then(|| fault(call)).flatten()
}

/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let call = if flags & libc::MSG_PEEK != 0 { Call::Peek } else { Call::Receive };
    let length = match fault_on_connection(call, fd) {
        Some(Fault::Error(errno)) => return fail(errno) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    real!("recv", Recv)(fd, buffer, length, flags)
}

/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let length = match fault_on_connection(Call::Send, fd) {
        Some(Fault::Error(errno)) => return fail(errno) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    real!("send", Send)(fd, buffer, length, flags)
}

/// # Safety
/// As writev(2).
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    type Writev = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    let count = match fault_on_connection(Call::Send, fd) {
        Some(Fault::Error(errno)) => return fail(errno) as ssize_t,
        Some(Fault::Short) => count.min(1),
        None => count,
    };
    real!("writev", Writev)(fd, parts, count)
}

/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    match fault(Call::Accept) {
        Some(Fault::Error(errno)) => fail(errno),
        _ => real!("accept4", Accept)(fd, address, length, flags),
    }
}

/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    match fault(Call::Connect) {
        Some(Fault::Error(errno)) => fail(errno),
        _ => real!("connect", Connect)(fd, address, length),
    }
}

/// # Safety
/// As socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    match fault(Call::Socket) {
        Some(Fault::Error(errno)) => fail(errno),
        _ => real!("socket", Socket)(domain, kind, protocol),
    }
}

/// # Safety
/// As epoll_wait(2).
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    type Wait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
    match fault(Call::Wait) {
        Some(Fault::Error(errno)) => fail(errno),
        _ => real!("epoll_wait", Wait)(fd, events, most, timeout),
    }
}

/// # Safety
/// As fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    type Fsync = unsafe extern "C" fn(c_int) -> c_int;
    match fault(Call::Sync) {
        Some(Fault::Error(errno)) => fail(errno),
        _ => real!("fsync", Fsync)(fd),
    }
}

/// # Safety
/// As rename(2).
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    match fault(Call::Rename) {
        Some(Fault::Error(errno)) => fail(errno),
        _ => real!("rename", Rename)(from, to),
    }
}

/// # Safety
/// As clock_gettime(2).
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    type Gettime = unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int;
    let gettime = real!("clock_gettime", Gettime);
    let done = gettime(clock, time);
    // Whoever reads the schedule may ask for the time: that one gets it as it is.
    let steps = INJECTOR.get().and_then(|injector| injector.schedule.clock);
    if let (0, libc::CLOCK_REALTIME, Some(steps)) = (done, clock, steps) {
        let mut monotonic = libc::timespec { tv_sec: 0, tv_nsec: 0 };
        if gettime(libc::CLOCK_MONOTONIC, &raw mut monotonic) == 0 {
            (*time).tv_sec += steps.offset_s(monotonic.tv_sec * 1000 + monotonic.tv_nsec / 1_000_000);
        }
    }
    done
}
