//! A log worker: slots, a queue, cores that are shared, warming up, archives that it keeps. No events, no network.

use std::collections::VecDeque;

use rookspoke_decisions::{Span, Time};

/// What a log worker is like.
#[derive(Clone, Copy, Debug)]
pub struct WorkerSpec {
    /// Cores.
    pub cores: f64,
    /// Slots.
    pub slots: f64,
    /// Jobs that wait at most.
    pub queue: usize,
    /// Which waiting job starts.
    pub order: QueueOrder,
    /// Speed of a core, against a standard one.
    pub speed: f64,
    /// Speed lost for each slot in use beyond the cores.
    pub contention: f64,
    /// The part of its speed that it starts with.
    pub initial_capacity: f64,
    /// How long it takes to become warm.
    pub ramp: Span,
    /// Archives that it keeps.
    pub archives: usize,
}

/// Which waiting job starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
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
pub enum StartPhase {
    /// It runs.
    Running,
    /// It fetches its archive.
    Fetching,
}

/// A log worker's process and machine.
#[derive(Clone, Debug)]
pub struct Worker {
    spec: WorkerSpec,
    /// When the process last started; none means long ago.
    pub started: Option<Time>,
    /// How many times slower it is at present.
    pub slowdown: f64,
    /// The part of the machine that another program takes.
    pub cpu_steal: f64,
    /// It stands still.
    pub paused: bool,
    waiting: VecDeque<Job>,
    running: Vec<Running>,
    used: f64,
    /// Archives, the one used last at the end.
    archives: Vec<u64>,
    /// Work besides jobs that is still to be done: seconds of a core.
    overhead: f64,
    updated_at: Time,
    /// Seconds of a core spent on jobs.
    pub core_seconds: f64,
}

impl Worker {
    /// One that has been warm for long.
    pub fn new(spec: WorkerSpec) -> Self {
        Worker {
            spec,
            started: None,
            slowdown: 1.0,
            cpu_steal: 0.0,
            paused: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            used: 0.0,
            archives: Vec::new(),
            overhead: 0.0,
            updated_at: Time(0),
            core_seconds: 0.0,
        }
    }

    /// The part of its speed that it has warmed up to.
    pub fn ramp_factor(&self, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started).secs() / self.spec.ramp.secs().max(1e-9);
        self.spec.initial_capacity + (1.0 - self.spec.initial_capacity) * part.clamp(0.0, 1.0)
    }

    /// Whether it is still warming up.
    pub fn in_slow_start(&self, now: Time) -> bool {
        self.started.is_some_and(|started| now - started < self.spec.ramp)
    }

    /// Work that it can do in a second at present: seconds of a core.
    pub fn capacity(&self, now: Time) -> f64 {
        self.spec.cores.min(self.spec.slots) * self.core_speed(now)
    }

    /// Work that it could do in a second with nothing in its way: as warm as it is, but neither paused nor slowed
    /// down. The fall-over rule goes by this.
    pub fn nominal_capacity(&self, now: Time) -> f64 {
        self.spec.cores.min(self.spec.slots) * self.spec.speed * self.ramp_factor(now)
    }

    /// Speed of one core at present.
    fn core_speed(&self, now: Time) -> f64 {
        match self.paused {
            true => 0.0,
            false => self.spec.speed * self.ramp_factor(now) * (1.0 - self.cpu_steal) / self.slowdown,
        }
    }

    /// How fast each running job goes: cores are shared out evenly over slots that are not fetching.
    fn job_speed(&self, now: Time) -> f64 {
        let busy: f64 = self.running.iter().filter(|r| !r.fetching).map(|r| r.job.slots).sum();
        let share = if busy > self.spec.cores { self.spec.cores / busy } else { 1.0 };
        let crowded = (1.0 - self.spec.contention * (self.used - self.spec.cores).max(0.0)).max(0.1);
        self.core_speed(now) * share * crowded
    }

    /// Brings it up to the present. The rate is taken as it was at the last step: while it is cold, steps have to
    /// be short.
    pub fn advance(&mut self, now: Time) {
        let mut passed = (now - self.updated_at).secs();
        let rate = self.job_speed(self.updated_at);
        let can = self.spec.cores * self.core_speed(self.updated_at);
        if self.overhead > 0.0 && can > 0.0 {
            let paid = self.overhead.min(can * passed);
            self.overhead -= paid;
            passed -= paid / can;
        }
        self.updated_at = now;
        for running in self.running.iter_mut().filter(|r| !r.fetching) {
            let done = (rate * passed).min(running.left);
            running.left -= done;
            self.core_seconds += done * running.job.slots;
        }
    }

    /// When the next job ends, as things stand.
    pub fn next_completion(&self, now: Time) -> Option<Time> {
        let rate = self.job_speed(now);
        let least = self.running.iter().filter(|r| !r.fetching).map(|r| r.left).fold(f64::INFINITY, f64::min);
        if rate <= 0.0 || !least.is_finite() {
            return None;
        }
        let overhead = self.overhead / (self.spec.cores * self.core_speed(now)).max(1e-9);
        Some(now + Span(((least / rate + overhead) * 1e6).ceil() as i64))
    }

    /// Takes a job in; false where it is turned away unseen.
    pub fn enqueue(&mut self, job: Job) -> bool {
        let never_fits = job.slots > self.spec.slots;
        let room = self.waiting.len() < self.spec.queue || (self.waiting.is_empty() && self.fits(&job));
        if never_fits || !room {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    fn fits(&self, job: &Job) -> bool {
        self.used + job.slots <= self.spec.slots
    }

    /// Starts the next waiting job, if one may start.
    pub fn start_next(&mut self) -> Option<(Job, StartPhase)> {
        if self.paused {
            return None;
        }
        let fits = |job: &Job| self.fits(job);
        let place = match self.spec.order {
            QueueOrder::Fifo => self.waiting.front().filter(|job| fits(job)).map(|_| 0),
            QueueOrder::Backfill => self.waiting.iter().position(fits),
            QueueOrder::Priority => {
                let fitting = self.waiting.iter().enumerate().filter(|(_, job)| fits(job));
                // The first of the worthiest.
                fitting.min_by(|a, b| b.1.worth.total_cmp(&a.1.worth).then(a.0.cmp(&b.0))).map(|best| best.0)
            }
        };
        let job = self.waiting.remove(place?)?;
        let fetching = !self.use_archive(job.key);
        self.used += job.slots;
        self.running.push(Running { job, left: job.work, fetching });
        Some((job, if fetching { StartPhase::Fetching } else { StartPhase::Running }))
    }

    /// Whether the archive is here; if so, it is the one used last from now on.
    fn use_archive(&mut self, key: u64) -> bool {
        let Some(at) = self.archives.iter().position(|kept| *kept == key) else { return false };
        self.archives.remove(at);
        self.archives.push(key);
        true
    }

    /// An archive has come for a job, which runs from now on.
    pub fn archive_fetched(&mut self, attempt: usize) {
        let Some(running) = self.running.iter_mut().find(|r| r.job.attempt == attempt) else { return };
        running.fetching = false;
        let key = running.job.key;
        if !self.use_archive(key) {
            self.archives.push(key);
            if self.archives.len() > self.spec.archives {
                self.archives.remove(0);
            }
        }
    }

    /// Jobs that are done.
    pub fn take_completed(&mut self) -> Vec<Job> {
        let (done, left): (Vec<Running>, Vec<Running>) =
            self.running.drain(..).partition(|r| !r.fetching && r.left <= 1e-9);
        self.running = left;
        self.used -= done.iter().map(|r| r.job.slots).sum::<f64>();
        done.into_iter().map(|r| r.job).collect()
    }

    /// Takes a job out, wherever it is; a running one only where `running` says so. Whether it was there.
    pub fn remove_job(&mut self, attempt: usize, running: bool) -> bool {
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
    pub fn take_waiting(&mut self) -> Vec<Job> {
        self.waiting.drain(..).collect()
    }

    /// The process is gone, with all that it held.
    pub fn terminate(&mut self) -> Vec<Job> {
        let all = self.waiting.drain(..).chain(self.running.drain(..).map(|r| r.job)).collect();
        (self.used, self.overhead) = (0.0, 0.0);
        self.archives.clear();
        all
    }

    /// Work besides jobs: a probe, a new connection. In seconds of a core.
    pub fn add_overhead(&mut self, work: f64) {
        self.overhead += work;
    }

    /// Slots that are free.
    pub fn free_slots(&self) -> f64 {
        self.spec.slots - self.used
    }

    /// The part of its cores in use.
    pub fn utilization(&self) -> f64 {
        let busy: f64 = self.running.iter().filter(|r| !r.fetching).map(|r| r.job.slots).sum();
        (busy / self.spec.cores).min(1.0)
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
        &self.archives
    }

    /// Whether the archive is here.
    pub fn has_archive(&self, key: u64) -> bool {
        self.archives.contains(&key)
    }

    /// Whether it holds nothing.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SPEC: WorkerSpec = WorkerSpec {
        cores: 2.0,
        slots: 4.0,
        queue: 3,
        order: QueueOrder::Fifo,
        speed: 1.0,
        contention: 0.0,
        initial_capacity: 0.25,
        ramp: Span(10_000_000),
        archives: 2,
    };

    fn job(attempt: usize, slots: f64, key: u64) -> Job {
        Job { attempt, slots, work: 1.0, key, worth: attempt as f64 }
    }

    fn at(secs: f64) -> Time {
        Time::from_ms(secs * 1000.0)
    }

    /// Takes and starts jobs, with their archives at hand.
    fn running(spec: WorkerSpec, jobs: &[Job]) -> Worker {
        let mut worker = Worker::new(spec);
        for job in jobs {
            assert!(worker.enqueue(*job));
            while let Some((job, _)) = worker.start_next() {
                worker.archive_fetched(job.attempt);
            }
        }
        worker
    }

    #[test]
    fn jobs_beyond_the_cores_share_them() {
        let alone = running(SPEC, &[job(0, 1.0, 1), job(1, 1.0, 1)]);
        assert_eq!(alone.next_completion(at(0.0)), Some(at(1.0)));
        let shared = running(SPEC, &[job(0, 2.0, 1), job(1, 2.0, 1)]);
        assert_eq!(shared.next_completion(at(0.0)), Some(at(2.0)));
    }

    #[test]
    fn the_first_waits_until_it_fits_and_backfill_passes_it() {
        let jobs = [job(0, 3.0, 1), job(1, 2.0, 1), job(2, 1.0, 1)];
        let mut fifo = running(SPEC, &jobs);
        assert_eq!((fifo.queued(), fifo.free_slots()), (2, 1.0));
        fifo.advance(at(10.0));
        assert_eq!(fifo.take_completed().len(), 1);
        let backfill = running(WorkerSpec { order: QueueOrder::Backfill, ..SPEC }, &jobs);
        assert_eq!((backfill.queued(), backfill.free_slots()), (1, 0.0));
    }

    #[test]
    fn priority_starts_the_worthiest_that_fits() {
        let mut worker = running(WorkerSpec { order: QueueOrder::Priority, ..SPEC }, &[job(0, 4.0, 1)]);
        for n in 1..4 {
            assert!(worker.enqueue(job(n, 2.0, 1)));
        }
        assert!(!worker.enqueue(job(4, 1.0, 1)), "the queue is full");
        worker.advance(at(10.0));
        worker.take_completed();
        assert_eq!(worker.start_next().map(|(job, _)| job.attempt), Some(3));
    }

    #[test]
    fn it_warms_up_evenly_and_a_pause_stops_it() {
        let mut worker = Worker::new(SPEC);
        worker.started = Some(at(0.0));
        assert_eq!(worker.ramp_factor(at(0.0)), 0.25);
        assert_eq!(worker.ramp_factor(at(5.0)), 0.625);
        assert_eq!(worker.ramp_factor(at(20.0)), 1.0);
        worker.paused = true;
        assert_eq!(worker.capacity(at(20.0)), 0.0);
        assert!(worker.enqueue(job(0, 1.0, 1)));
        assert!(worker.start_next().is_none());
    }

    #[test]
    fn the_archive_unused_for_longest_goes() {
        let mut worker = running(SPEC, &[job(0, 1.0, 1), job(1, 1.0, 2), job(2, 1.0, 1)]);
        worker.enqueue(job(3, 1.0, 3));
        let (_, begins) = worker.start_next().expect("it starts");
        assert_eq!(begins, StartPhase::Fetching);
        worker.archive_fetched(3);
        assert_eq!(
            (worker.has_archive(1), worker.has_archive(2), worker.has_archive(3)),
            (true, false, true)
        );
    }

    #[test]
    fn other_work_holds_jobs_up() {
        let mut worker = running(SPEC, &[job(0, 1.0, 1)]);
        worker.add_overhead(1.0);
        assert_eq!(worker.next_completion(at(0.0)), Some(at(1.5)));
        worker.advance(at(1.5));
        assert_eq!(worker.take_completed().len(), 1);
    }

    proptest::proptest! {
        /// Whatever comes and goes, slots are neither made nor lost.
        #[test]
        fn slots_in_use_are_those_of_running_jobs(steps in proptest::collection::vec((0u8..5, 0usize..12), 1..80)) {
            let mut worker = Worker::new(SPEC);
            for (n, (what, which)) in steps.into_iter().enumerate() {
                let now = at(n as f64 * 0.3);
                worker.advance(now);
                match what {
                    0 => drop(worker.enqueue(job(which, (1 + which % 4) as f64, which as u64 % 3))),
                    1 => drop(worker.start_next()),
                    2 => worker.archive_fetched(which),
                    3 => drop(worker.remove_job(which, true)),
                    _ => drop(worker.take_completed()),
                }
                let used: f64 = worker.running.iter().map(|r| r.job.slots).sum();
                proptest::prop_assert_eq!(used, worker.used);
                proptest::prop_assert!(worker.used <= SPEC.slots && worker.waiting.len() <= SPEC.queue);
            }
        }
    }
}
