//! Fault injection for tests: preloaded into a process (`LD_PRELOAD`), this library makes some of its system calls fail
//! with errors that Linux documents for them. Environment variables set which calls fail and how often; a seed makes
//! the random draws reproducible.
//!
//! `ROOKSPOKE_FAULTS` holds the schedule, `SEED CALL=ERROR:PERCENT ...`, for example
//! `7 receive=EINTR:20 accept=ECONNABORTED:50`. `clock=SECONDS:PERIOD_MS` shifts the wall clock by `SECONDS` during
//! every other interval of `PERIOD_MS`, or all the time if the period is 0. If the schedule cannot be parsed, the
//! process exits with status 3 and one line on standard error.
//!
//! `ROOKSPOKE_FAULTS_LOG` names a file to which one line, `CALL ERROR`, is appended for each injected fault. A test
//! should check this file: a run in which no fault was injected proves nothing.
//!
//! This is the only crate of the workspace that needs `unsafe`, because it interposes functions of the C library.

mod schedule;

use std::ffi::{c_char, c_int, c_void};
use std::mem::transmute;
use std::os::fd::IntoRawFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use libc::{iovec, size_t, sockaddr, socklen_t, ssize_t};
use schedule::{Call, Fault, Schedule};

/// The environment variable that holds the schedule.
const SCHEDULE_VARIABLE: &str = "ROOKSPOKE_FAULTS";
/// The environment variable that names the file in which injected faults are logged.
const LOG_VARIABLE: &str = "ROOKSPOKE_FAULTS_LOG";
/// The exit status of a process whose schedule cannot be parsed.
const EXIT_BAD_SCHEDULE: i32 = 3;

struct Injector {
    schedule: Schedule,
    next_draw: AtomicU64,
    /// The descriptor of the fault log, which stays open for the life of the process.
    log: Option<c_int>,
}

static INJECTOR: OnceLock<Injector> = OnceLock::new();

fn injector() -> &'static Injector {
    INJECTOR.get_or_init(|| {
        let text = std::env::var(SCHEDULE_VARIABLE).unwrap_or_default();
        let schedule = Schedule::parse(&text).unwrap_or_else(|error| {
            eprintln!("{SCHEDULE_VARIABLE}: {error}");
            std::process::exit(EXIT_BAD_SCHEDULE)
        });
        let open = |path| std::fs::OpenOptions::new().append(true).create(true).open(path).ok();
        let log = std::env::var(LOG_VARIABLE).ok().and_then(open).map(IntoRawFd::into_raw_fd);
        Injector { schedule, next_draw: AtomicU64::new(0), log }
    })
}

/// Draws whether this call fails, and logs the fault if it does.
fn draw_fault(call: Call) -> Option<Fault> {
    let injector = injector();
    let draw_number = injector.next_draw.fetch_add(1, Ordering::Relaxed);
    let (fault, line) = injector.schedule.draw(call, draw_number)?;
    if let Some(log) = injector.log {
        // SAFETY: `line` is a string slice that lives through the call, so its pointer is valid for that length.
        // The result is ignored: a fault whose line cannot be written is missing from the log, so tests don't count it.
        unsafe { libc::syscall(libc::SYS_write, log, line.as_ptr(), line.len()) };
    }
    Some(fault)
}

/// Sets errno and returns -1, the result of a failed call.
fn fail_with(errno: c_int) -> c_int {
    // SAFETY: `__errno_location` returns a pointer to the errno of this thread, which is valid while the thread runs.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// The function that this library interposes under the same name: the next one in symbol lookup order, normally the C
/// library's.
macro_rules! real_function {
    ($name:literal, $type:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name is a literal that ends with a zero byte.
        let address = *ADDRESS.get_or_init(|| unsafe {
            libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast::<c_char>()) as usize
        });
        // SAFETY: the C library provides `$name`, and `$type` is the type that it documents for it.
        unsafe { transmute::<usize, $type>(address) }
    }};
}

/// Like [`draw_fault`], but only for IPv4 sockets. The process's own pipes and Unix sockets get no faults: the async
/// runtime panics if a read of the pipe through which it learns of signals is interrupted.
fn draw_connection_fault(call: Call, fd: c_int) -> Option<Fault> {
    let mut domain: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: `domain` and `length` live through the call, and `length` is the size of `domain`.
    let status = unsafe {
        libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, (&raw mut domain).cast(), &raw mut length)
    };
    (status == 0 && domain == libc::AF_INET).then(|| draw_fault(call)).flatten()
}

/// Interposes `recv` with the faults of `Call::Receive`, or of `Call::Peek` if `MSG_PEEK` is set.
///
/// # Safety
/// As recv(2): `buffer` must be valid for writes of `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let call = if flags & libc::MSG_PEEK != 0 { Call::Peek } else { Call::Receive };
    let length = match draw_connection_fault(call, fd) {
        Some(Fault::Error(errno)) => return fail_with(errno) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    real_function!("recv", Recv)(fd, buffer, length, flags)
}

/// Interposes `send` with the faults of `Call::Send`.
///
/// # Safety
/// As send(2): `buffer` must be valid for reads of `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let length = match draw_connection_fault(Call::Send, fd) {
        Some(Fault::Error(errno)) => return fail_with(errno) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    real_function!("send", Send)(fd, buffer, length, flags)
}

/// Interposes `writev` with the faults of `Call::Send`.
///
/// # Safety
/// As writev(2): `buffers` must point to `count` entries, and each of these to memory that is valid for reads.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    type Writev = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
    let count = match draw_connection_fault(Call::Send, fd) {
        Some(Fault::Error(errno)) => return fail_with(errno) as ssize_t,
        Some(Fault::Short) => count.min(1),
        None => count,
    };
    real_function!("writev", Writev)(fd, buffers, count)
}

/// Interposes `accept4` with the faults of `Call::Accept`.
///
/// # Safety
/// As accept4(2): `address` must be null, or valid for writes of `*length` bytes with a valid `length`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    match draw_fault(Call::Accept) {
        Some(Fault::Error(errno)) => fail_with(errno),
        _ => real_function!("accept4", Accept4)(fd, address, length, flags),
    }
}

/// Interposes `connect` with the faults of `Call::Connect`.
///
/// # Safety
/// As connect(2): `address` must be valid for reads of `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    match draw_fault(Call::Connect) {
        Some(Fault::Error(errno)) => fail_with(errno),
        _ => real_function!("connect", Connect)(fd, address, length),
    }
}

/// Interposes `socket` with the faults of `Call::Socket`.
///
/// # Safety
/// As socket(2), which has no requirements on memory.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    match draw_fault(Call::Socket) {
        Some(Fault::Error(errno)) => fail_with(errno),
        _ => real_function!("socket", Socket)(domain, socket_type, protocol),
    }
}

/// Interposes `epoll_wait` with the faults of `Call::Wait`.
///
/// # Safety
/// As epoll_wait(2): `events` must be valid for writes of `max_events` entries.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    type EpollWait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
    match draw_fault(Call::Wait) {
        Some(Fault::Error(errno)) => fail_with(errno),
        _ => real_function!("epoll_wait", EpollWait)(fd, events, max_events, timeout),
    }
}

/// Interposes `fsync` with the faults of `Call::Sync`.
///
/// # Safety
/// As fsync(2), which has no requirements on memory.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    type Fsync = unsafe extern "C" fn(c_int) -> c_int;
    match draw_fault(Call::Sync) {
        Some(Fault::Error(errno)) => fail_with(errno),
        _ => real_function!("fsync", Fsync)(fd),
    }
}

/// Interposes `rename` with the faults of `Call::Rename`.
///
/// # Safety
/// As rename(2): both paths must be valid C strings.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
    match draw_fault(Call::Rename) {
        Some(Fault::Error(errno)) => fail_with(errno),
        _ => real_function!("rename", Rename)(from, to),
    }
}

/// Interposes `clock_gettime`; shifts `CLOCK_REALTIME` if the schedule says so.
///
/// # Safety
/// As clock_gettime(2): `time` must be valid for writes.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    type ClockGettime = unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int;
    let real_clock_gettime = real_function!("clock_gettime", ClockGettime);
    let status = real_clock_gettime(clock, time);
    // Reading the schedule may itself ask for the time, so this call must not cause it to be read. Until it has been
    // read, the time is returned unchanged.
    let steps = INJECTOR.get().and_then(|injector| injector.schedule.clock_steps);
    if let (0, libc::CLOCK_REALTIME, Some(steps)) = (status, clock, steps) {
        let mut monotonic = libc::timespec { tv_sec: 0, tv_nsec: 0 };
        if real_clock_gettime(libc::CLOCK_MONOTONIC, &raw mut monotonic) == 0 {
            (*time).tv_sec += steps.offset_s(monotonic.tv_sec * 1000 + monotonic.tv_nsec / 1_000_000);
        }
    }
    status
}
