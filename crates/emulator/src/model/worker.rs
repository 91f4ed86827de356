//! A log worker: slots, a queue, cores that are shared, warming up, archives that it keeps. No events, no network.

use std::collections::VecDeque;

use rookspoke_decisions::{Span, Time};

/// What a log worker is like.
#[derive(Clone, Copy, Debug)]
pub struct Make {
    /// Cores.
    pub cores: f64,
    /// Slots.
    pub slots: f64,
    /// Jobs that wait at most.
    pub queue: usize,
    /// Which waiting job starts.
    pub order: Order,
    /// Speed of a core, against a standard one.
    pub speed: f64,
    /// Speed lost for each slot in use beyond the cores.
    pub crowding: f64,
    /// The part of its speed that it starts with.
    pub cold_from: f64,
    /// How long it takes to become warm.
    pub cold_for: Span,
    /// Archives that it keeps.
    pub archives: usize,
}

/// Which waiting job starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The first, once it fits.
    Fifo,
    /// The first that fits.
    Backfill,
    /// The worthiest that fits.
    Priority,
}

/// A job as a log worker sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The attempt that brought it.
    pub attempt: usize,
    /// Slots that it takes.
    pub slots: f64,
    /// Running time at speed 1, in seconds.
    pub work: f64,
    /// The archive that it needs.
    pub key: u64,
    /// What it is worth.
    pub worth: f64,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    /// Running time that is left, in seconds at speed 1.
    left: f64,
    fetching: bool,
}

/// What a job that starts does first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begins {
    /// It runs.
    Runs,
    /// It fetches its archive.
    Fetches,
}

/// A log worker's process and machine.
#[derive(Clone, Debug)]
pub struct Worker {
    make: Make,
    /// When the process last started; none means long ago.
    pub started: Option<Time>,
    /// How many times slower it is at present.
    pub slow: f64,
    /// The part of the machine that another program takes.
    pub taken: f64,
    /// It stands still.
    pub paused: bool,
    waiting: VecDeque<Job>,
    running: Vec<Running>,
    used: f64,
    /// Archives, the one used last at the end.
    kept: Vec<u64>,
    /// Work besides jobs that is still to be done: seconds of a core.
    debt: f64,
    last: Time,
    /// Seconds of a core spent on jobs.
    pub worked: f64,
}

impl Worker {
    /// One that has been warm for long.
    pub fn new(make: Make) -> Self {
        Worker {
            make,
            started: None,
            slow: 1.0,
            taken: 0.0,
            paused: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            used: 0.0,
            kept: Vec::new(),
            debt: 0.0,
            last: Time(0),
            worked: 0.0,
        }
    }

    /// The part of its speed that it has warmed up to.
    pub fn warmth(&self, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started).secs() / self.make.cold_for.secs().max(1e-9);
        self.make.cold_from + (1.0 - self.make.cold_from) * part.clamp(0.0, 1.0)
    }

    /// Whether it is still warming up.
    pub fn is_cold(&self, now: Time) -> bool {
        self.started.is_some_and(|started| now - started < self.make.cold_for)
    }

    /// Work that it can do in a second at present: seconds of a core.
    pub fn capacity(&self, now: Time) -> f64 {
        self.make.cores.min(self.make.slots) * self.factor(now)
    }

    /// Work that it could do in a second with nothing in its way: as warm as it is, but neither paused nor slowed
    /// down. The fall-over rule goes by this.
    pub fn nominal(&self, now: Time) -> f64 {
        self.make.cores.min(self.make.slots) * self.make.speed * self.warmth(now)
    }

    /// Speed of one core at present.
    fn factor(&self, now: Time) -> f64 {
        match self.paused {
            true => 0.0,
            false => self.make.speed * self.warmth(now) * (1.0 - self.taken) / self.slow,
        }
    }

    /// How fast each running job goes: cores are shared out evenly over slots that are not fetching.
    fn rate(&self, now: Time) -> f64 {
        let busy: f64 = self.running.iter().filter(|r| !r.fetching).map(|r| r.job.slots).sum();
        let share = if busy > self.make.cores { self.make.cores / busy } else { 1.0 };
        let crowded = (1.0 - self.make.crowding * (self.used - self.make.cores).max(0.0)).max(0.1);
        self.factor(now) * share * crowded
    }

    /// Brings it up to the present. The rate is taken as it was at the last step: while it is cold, steps have to
    /// be short.
    pub fn advance(&mut self, now: Time) {
        let mut passed = (now - self.last).secs();
        let rate = self.rate(self.last);
        let can = self.make.cores * self.factor(self.last);
        if self.debt > 0.0 && can > 0.0 {
            let paid = self.debt.min(can * passed);
            self.debt -= paid;
            passed -= paid / can;
        }
        self.last = now;
        for running in self.running.iter_mut().filter(|r| !r.fetching) {
            let done = (rate * passed).min(running.left);
            running.left -= done;
            self.worked += done * running.job.slots;
        }
    }

    /// When the next job ends, as things stand.
    pub fn next_end(&self, now: Time) -> Option<Time> {
        let rate = self.rate(now);
        let least = self.running.iter().filter(|r| !r.fetching).map(|r| r.left).fold(f64::INFINITY, f64::min);
        if rate <= 0.0 || !least.is_finite() {
            return None;
        }
        let debt = self.debt / (self.make.cores * self.factor(now)).max(1e-9);
        Some(now + Span(((least / rate + debt) * 1e6).ceil() as i64))
    }

    /// Takes a job in; false where it is turned away unseen.
    pub fn take(&mut self, job: Job) -> bool {
        let never_fits = job.slots > self.make.slots;
        let room = self.waiting.len() < self.make.queue || (self.waiting.is_empty() && self.fits(&job));
        if never_fits || !room {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    fn fits(&self, job: &Job) -> bool {
        self.used + job.slots <= self.make.slots
    }

    /// Starts the next waiting job, if one may start.
    pub fn start_next(&mut self) -> Option<(Job, Begins)> {
        if self.paused {
            return None;
        }
        let fits = |job: &Job| self.fits(job);
        let place = match self.make.order {
            Order::Fifo => self.waiting.front().filter(|job| fits(job)).map(|_| 0),
            Order::Backfill => self.waiting.iter().position(fits),
            Order::Priority => {
                let fitting = self.waiting.iter().enumerate().filter(|(_, job)| fits(job));
                // The first of the worthiest.
                fitting.min_by(|a, b| b.1.worth.total_cmp(&a.1.worth).then(a.0.cmp(&b.0))).map(|best| best.0)
            }
        };
        let job = self.waiting.remove(place?)?;
        let fetching = !self.use_archive(job.key);
        self.used += job.slots;
        self.running.push(Running { job, left: job.work, fetching });
        Some((job, if fetching { Begins::Fetches } else { Begins::Runs }))
    }

    /// Whether the archive is here; if so, it is the one used last from now on.
    fn use_archive(&mut self, key: u64) -> bool {
        let Some(at) = self.kept.iter().position(|kept| *kept == key) else { return false };
        self.kept.remove(at);
        self.kept.push(key);
        true
    }

    /// An archive has come for a job, which runs from now on.
    pub fn fetched(&mut self, attempt: usize) {
        let Some(running) = self.running.iter_mut().find(|r| r.job.attempt == attempt) else { return };
        running.fetching = false;
        let key = running.job.key;
        if !self.use_archive(key) {
            self.kept.push(key);
            if self.kept.len() > self.make.archives {
                self.kept.remove(0);
            }
        }
    }

    /// Jobs that are done.
    pub fn take_done(&mut self) -> Vec<Job> {
        let (done, left): (Vec<Running>, Vec<Running>) =
            self.running.drain(..).partition(|r| !r.fetching && r.left <= 1e-9);
        self.running = left;
        self.used -= done.iter().map(|r| r.job.slots).sum::<f64>();
        done.into_iter().map(|r| r.job).collect()
    }

    /// Takes a job out, wherever it is; a running one only where `running` says so. Whether it was there.
    pub fn drop_job(&mut self, attempt: usize, running: bool) -> bool {
        if let Some(at) = self.waiting.iter().position(|job| job.attempt == attempt) {
            self.waiting.remove(at);
            return true;
        }
        let at = self.running.iter().position(|r| r.job.attempt == attempt && running);
        let Some(at) = at else { return false };
        self.used -= self.running.remove(at).job.slots;
        true
    }

    /// Everything that waits, which leaves.
    pub fn hand_back(&mut self) -> Vec<Job> {
        self.waiting.drain(..).collect()
    }

    /// The process is gone, with all that it held.
    pub fn die(&mut self) -> Vec<Job> {
        let all = self.waiting.drain(..).chain(self.running.drain(..).map(|r| r.job)).collect();
        (self.used, self.debt) = (0.0, 0.0);
        self.kept.clear();
        all
    }

    /// Work besides jobs: a probe, a new connection. In seconds of a core.
    pub fn burden(&mut self, work: f64) {
        self.debt += work;
    }

    /// Slots that are free.
    pub fn free(&self) -> f64 {
        self.make.slots - self.used
    }

    /// The part of its cores in use.
    pub fn util(&self) -> f64 {
        let busy: f64 = self.running.iter().filter(|r| !r.fetching).map(|r| r.job.slots).sum();
        (busy / self.make.cores).min(1.0)
    }

    /// Jobs that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Work that it holds: seconds until it would be idle, were its cores always full.
    pub fn backlog(&self, now: Time) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|job| job.work * job.slots).sum();
        let running: f64 = self.running.iter().map(|r| r.left * r.job.slots).sum();
        (waiting + running) / self.capacity(now).max(1e-3)
    }

    /// The archives that it keeps.
    pub fn archives(&self) -> &[u64] {
        &self.kept
    }

    /// Whether the archive is here.
    pub fn keeps(&self, key: u64) -> bool {
        self.kept.contains(&key)
    }

    /// Whether it holds nothing.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAKE: Make = Make {
        cores: 2.0,
        slots: 4.0,
        queue: 3,
        order: Order::Fifo,
        speed: 1.0,
        crowding: 0.0,
        cold_from: 0.25,
        cold_for: Span(10_000_000),
        archives: 2,
    };

    fn job(attempt: usize, slots: f64, key: u64) -> Job {
        Job { attempt, slots, work: 1.0, key, worth: attempt as f64 }
    }

    fn at(secs: f64) -> Time {
        Time::from_ms(secs * 1000.0)
    }

    /// Takes and starts jobs, with their archives at hand.
    fn running(make: Make, jobs: &[Job]) -> Worker {
        let mut worker = Worker::new(make);
        for job in jobs {
            assert!(worker.take(*job));
            while let Some((job, _)) = worker.start_next() {
                worker.fetched(job.attempt);
            }
        }
        worker
    }

    #[test]
    fn jobs_beyond_the_cores_share_them() {
        let alone = running(MAKE, &[job(0, 1.0, 1), job(1, 1.0, 1)]);
        assert_eq!(alone.next_end(at(0.0)), Some(at(1.0)));
        let shared = running(MAKE, &[job(0, 2.0, 1), job(1, 2.0, 1)]);
        assert_eq!(shared.next_end(at(0.0)), Some(at(2.0)));
    }

    #[test]
    fn the_first_waits_until_it_fits_and_backfill_passes_it() {
        let jobs = [job(0, 3.0, 1), job(1, 2.0, 1), job(2, 1.0, 1)];
        let mut fifo = running(MAKE, &jobs);
        assert_eq!((fifo.queued(), fifo.free()), (2, 1.0));
        fifo.advance(at(10.0));
        assert_eq!(fifo.take_done().len(), 1);
        let backfill = running(Make { order: Order::Backfill, ..MAKE }, &jobs);
        assert_eq!((backfill.queued(), backfill.free()), (1, 0.0));
    }

    #[test]
    fn priority_starts_the_worthiest_that_fits() {
        let mut worker = running(Make { order: Order::Priority, ..MAKE }, &[job(0, 4.0, 1)]);
        for n in 1..4 {
            assert!(worker.take(job(n, 2.0, 1)));
        }
        assert!(!worker.take(job(4, 1.0, 1)), "the queue is full");
        worker.advance(at(10.0));
        worker.take_done();
        assert_eq!(worker.start_next().map(|(job, _)| job.attempt), Some(3));
    }

    #[test]
    fn it_warms_up_evenly_and_a_pause_stops_it() {
        let mut worker = Worker::new(MAKE);
        worker.started = Some(at(0.0));
        assert_eq!(worker.warmth(at(0.0)), 0.25);
        assert_eq!(worker.warmth(at(5.0)), 0.625);
        assert_eq!(worker.warmth(at(20.0)), 1.0);
        worker.paused = true;
        assert_eq!(worker.capacity(at(20.0)), 0.0);
        assert!(worker.take(job(0, 1.0, 1)));
        assert!(worker.start_next().is_none());
    }

    #[test]
    fn the_archive_unused_for_longest_goes() {
        let mut worker = running(MAKE, &[job(0, 1.0, 1), job(1, 1.0, 2), job(2, 1.0, 1)]);
        worker.take(job(3, 1.0, 3));
        let (_, begins) = worker.start_next().expect("it starts");
        assert_eq!(begins, Begins::Fetches);
        worker.fetched(3);
        assert_eq!((worker.keeps(1), worker.keeps(2), worker.keeps(3)), (true, false, true));
    }

    #[test]
    fn other_work_holds_jobs_up() {
        let mut worker = running(MAKE, &[job(0, 1.0, 1)]);
        worker.burden(1.0);
        assert_eq!(worker.next_end(at(0.0)), Some(at(1.5)));
        worker.advance(at(1.5));
        assert_eq!(worker.take_done().len(), 1);
    }

    proptest::proptest! {
        /// Whatever comes and goes, slots are neither made nor lost.
        #[test]
        fn slots_in_use_are_those_of_running_jobs(steps in proptest::collection::vec((0u8..5, 0usize..12), 1..80)) {
            let mut worker = Worker::new(MAKE);
            for (n, (what, which)) in steps.into_iter().enumerate() {
                let now = at(n as f64 * 0.3);
                worker.advance(now);
                match what {
                    0 => drop(worker.take(job(which, (1 + which % 4) as f64, which as u64 % 3))),
                    1 => drop(worker.start_next()),
                    2 => worker.fetched(which),
                    3 => drop(worker.drop_job(which, true)),
                    _ => drop(worker.take_done()),
                }
                let used: f64 = worker.running.iter().map(|r| r.job.slots).sum();
                proptest::prop_assert_eq!(used, worker.used);
                proptest::prop_assert!(worker.used <= MAKE.slots && worker.waiting.len() <= MAKE.queue);
            }
        }
    }
}
